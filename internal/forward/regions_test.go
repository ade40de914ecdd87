package forward

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// The tests in this file guard against requests running in regions that may not serve their
// route. Operators change these regions with most configurations, and a request may be retried
// up to ten seconds after it arrived, so a retry must follow the configuration in force rather
// than the one that the request arrived with.

// configRoutes is the native protocol with the routes of the configuration.
type configRoutes struct{ Native }

// ParseRequest implements Protocol.
func (configRoutes) ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError) {
	route := snap.Routes.Match(r.Host, r.URL.Path)
	if route == nil {
		return RequestInfo{}, &RequestError{Status: http.StatusNotFound, Reason: "no-route"}
	}
	return RequestInfo{ID: r.Header.Get(header.RequestID), Route: route, Safe: route.Idempotent, Object: r.URL.Path}, nil
}

// regionFixture is an entry in muscat with two upstreams in each of three regions.
type regionFixture struct {
	t       *testing.T
	carrier *Proxy
	url     string
	route   model.Route
	in      model.RoutedInput

	mu sync.Mutex
	// ran are the regions in which requests ran, in order.
	ran []string
	// onRequest is called while a request runs, with the number of requests that ran before. It
	// returns whether the upstream breaks off.
	onRequest func(before int) (breaks bool)
}

var fixtureRegions = []string{"muscat", "sohar", "salalah"}

func newRegionFixture(t *testing.T, regions ...string) *regionFixture {
	h := &regionFixture{t: t, onRequest: func(int) bool { return false }}
	h.carrier = New(Options{
		MaxInFlight: 100, Now: time.Now, Protocol: configRoutes{}, CapShares: share.NewLimiter(), Domain: "muscat-a",
		BootClock: func() int64 { return 0 }, NewID: func() string { return "own" }, Observe: func(Outcome) {},
	})
	srv := httptest.NewServer(h.carrier)
	t.Cleanup(srv.Close)
	h.url = srv.URL
	h.route = model.Route{
		Name: "r", Host: "127.0.0.1", Prefix: "/", Attempts: 3, Timeout: time.Minute, Idempotent: true, Affinity: true,
		Services: []model.WeightedService{{Service: "orders", Weight: 1}}, Regions: regions,
	}
	h.in = model.RoutedInput{
		Region: "muscat", RetryBudget: 1, RetryBurst: 100,
		Members: []model.Member{{ID: "n0", Region: "muscat", State: membership.Alive}},
	}
	for _, region := range fixtureRegions {
		for _, domain := range []string{"-a", "-b"} {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(w, r, region) }))
			t.Cleanup(up.Close)
			h.in.Upstreams = append(h.in.Upstreams, model.Upstream{
				ID: region + domain, Service: "orders", Region: region, Domain: region + domain, Address: up.Listener.Addr().String(), Slots: 100,
			})
		}
	}
	h.configure(1, regions...)
	return h
}

// serve handles a request at an upstream of a region.
func (h *regionFixture) serve(w http.ResponseWriter, r *http.Request, region string) {
	h.mu.Lock()
	before := len(h.ran)
	h.ran = append(h.ran, region)
	h.mu.Unlock()
	if h.onRequest(before) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
}

// configure puts a configuration into force in which the given regions may serve the route.
func (h *regionFixture) configure(version uint64, regions ...string) {
	route := h.route
	route.Regions = regions
	h.in.Config = &model.Config{Version: version, Routes: []*model.Route{&route}, Services: map[string]model.ServiceConfig{"orders": {}}}
	h.carrier.Update(model.CompileRouted(h.in))
}

func (h *regionFixture) send(id string) result {
	e := &entry{h.carrier, h.url}
	return e.send(h.t, http.MethodGet, "/x", "", header.RequestID, id)
}

// expectRuns checks the regions in which requests ran, in order.
func (h *regionFixture) expectRuns(t *testing.T, regions ...string) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Equal(h.ran, regions) {
		t.Errorf("ran in %v, want %v", h.ran, regions)
	}
}

// TestRetryFollowsCurrentConfiguration changes the regions that may serve a route while a
// request of the route is in flight, which then breaks off.
func TestRetryFollowsCurrentConfiguration(t *testing.T) {
	for _, region := range fixtureRegions {
		for _, next := range fixtureRegions {
			h := newRegionFixture(t, region)
			h.onRequest = func(before int) bool {
				if before == 0 {
					h.configure(2, next)
				}
				return before == 0
			}
			if got := h.send("r1"); got.status != http.StatusOK {
				t.Errorf("from %s to %s: status %d", region, next, got.status)
			}
			h.expectRuns(t, region, next)
		}
	}
}

// TestNoUpstreamInAllowedRegion removes all upstreams of the only region that may serve a
// route, in several ways. Its requests must run in no other region and be rejected at once.
func TestNoUpstreamInAllowedRegion(t *testing.T) {
	for name, lose := range map[string]func(u *model.Upstream){
		"leaving": func(u *model.Upstream) { u.Leaving = true },
		"gone":    func(u *model.Upstream) { u.Service = "" },
		"moved":   func(u *model.Upstream) { u.Region = "elsewhere" },
	} {
		for _, region := range fixtureRegions {
			h := newRegionFixture(t, region)
			for i := range h.in.Upstreams {
				if h.in.Upstreams[i].Region == region {
					lose(&h.in.Upstreams[i])
				}
			}
			h.configure(2, region)
			got := h.send("r1")
			if got.status != http.StatusServiceUnavailable || got.verdict(t) != verdict.NotRun || got.header.Get("Retry-After") == "" {
				t.Errorf("upstreams of %s %s: status %d, %v", region, name, got.status, got.header)
			}
			h.expectRuns(t)
		}
	}
}

// TestRetriesStayInAllowedRegion breaks off every attempt.
func TestRetriesStayInAllowedRegion(t *testing.T) {
	for _, region := range fixtureRegions {
		h := newRegionFixture(t, region)
		h.onRequest = func(int) bool { return true }
		h.send("r1")
		h.mu.Lock()
		elsewhere := slices.ContainsFunc(h.ran, func(ran string) bool { return ran != region })
		if len(h.ran) == 0 || elsewhere {
			t.Errorf("ran in %v, want only %s", h.ran, region)
		}
		h.mu.Unlock()
	}
}
