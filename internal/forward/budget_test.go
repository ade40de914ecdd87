package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
)

// routedProtocol is the native protocol with one route for all requests.
type routedProtocol struct {
	Native
	route *model.Route
}

// ParseRequest implements Protocol.
func (p routedProtocol) ParseRequest(r *http.Request, _ *model.Snapshot) (RequestInfo, *RequestError) {
	return RequestInfo{ID: r.Header.Get(header.RequestID), Route: p.route, Idempotent: p.route.Idempotent, Object: r.URL.Path}, nil
}

// newRoutedEntry returns the first of several entries that have one route to the fake upstreams.
func newRoutedEntry(t *testing.T, entries int, route *model.Route, fakes []*fakeUpstream) *entry {
	c := New(Options{
		Self: "n0", MaxInFlight: 100, Now: time.Now, Protocol: routedProtocol{route: route}, CapShares: share.NewLimiter(), Domain: "a",
		BootClock: func() int64 { return 0 }, NewID: func() string { return "own" }, Observe: func(Outcome) {},
	})
	in := model.RoutedInput{
		Region: "muscat", RetryBudget: 0.2, RetryBurst: 12,
		Config: &model.Config{Version: 1, Routes: []*model.Route{route}, Services: map[string]model.ServiceConfig{"orders": {}}},
	}
	for i := range entries {
		in.Members = append(in.Members, model.Member{ID: fmt.Sprint("n", i), Region: "muscat", State: membership.Alive})
	}
	for i, f := range fakes {
		in.Upstreams = append(in.Upstreams, model.Upstream{
			ID: fmt.Sprint("u", i), Service: "orders", Region: "muscat", Domain: "a", Address: f.lis.Addr().String(), Slots: 100,
		})
	}
	c.Update(model.CompileRouted(in))
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	return &entry{c, srv.URL}
}

// TestRetryBudgetHoldsOverAllEntries makes every upstream truncate every response. The retries
// of all entries together must stay within the retry budget of the service, however the
// requests are distributed over the entries.
func TestRetryBudgetHoldsOverAllEntries(t *testing.T) {
	const entries, requests = 4, 120
	for name, entryOf := range map[string]func(i int) int{
		"evenly":            func(i int) int { return i % entries },
		"all at one":        func(int) int { return 0 },
		"half at one":       func(i int) int { return (i % 2) * (i % entries) },
		"one after another": func(i int) int { return i * entries / requests },
	} {
		t.Run(name, func(t *testing.T) {
			fakes := []*fakeUpstream{newFakeUpstream(t), newFakeUpstream(t), newFakeUpstream(t), newFakeUpstream(t)}
			for _, f := range fakes {
				f.always = truncates
			}
			route := &model.Route{
				Name: "r", Idempotent: true, Attempts: 3, Timeout: time.Minute, Affinity: true,
				Services: []model.WeightedService{{Service: "orders", Weight: 1}},
			}
			var all []*entry
			for range entries {
				all = append(all, newRoutedEntry(t, entries, route, fakes))
			}
			for i := range requests {
				all[entryOf(i)].send(t, http.MethodGet, fmt.Sprint("/", i), "", header.RequestID, fmt.Sprint("r", i))
			}
			arrivals := 0
			for _, f := range fakes {
				arrivals += len(f.received())
			}
			if bound := 0.2*requests + 12; float64(arrivals-requests) > bound {
				t.Errorf("%d arrivals for %d requests, want at most %.0f retries", arrivals, requests, bound)
			}
			if arrivals < requests {
				t.Errorf("%d arrivals for %d requests, want at least one each", arrivals, requests)
			}
		})
	}
}
