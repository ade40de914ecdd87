package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
)

// TestShortRequestsAmongLongOnes adds a route of short requests to a service whose other
// requests take long. With a latency estimate for the whole service, the short requests would
// all be rejected with 503 as too late, and since none would be sent, the estimate would never
// be corrected.
func TestShortRequestsAmongLongOnes(t *testing.T) {
	const long, short = time.Second, 400 * time.Millisecond
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/long/") {
			time.Sleep(long)
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	}))
	t.Cleanup(up.Close)
	c := New(Options{
		MaxInFlight: 100, Now: time.Now, Protocol: configRoutes{}, CapShares: share.NewLimiter(), Domain: "muscat-a",
		BootClock: func() int64 { return 0 }, NewID: func() string { return "own" }, Observe: func(Outcome) {},
	})
	route := func(name string, limit time.Duration) *model.Route {
		return &model.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Attempts: 1, Timeout: limit, Objective: limit, Idempotent: true,
			Services: []model.WeightedService{{Service: "orders", Weight: 1}},
		}
	}
	c.Update(model.CompileRouted(model.RoutedInput{
		Region: "muscat",
		Config: &model.Config{
			Version: 1, Services: map[string]model.ServiceConfig{"orders": {}},
			Routes: []*model.Route{route("long", time.Minute), route("short", short)},
		},
		Members: []model.Member{{ID: "n0", Region: "muscat", State: membership.Alive}},
		Upstreams: []model.Upstream{{
			ID: "u0", Service: "orders", Region: "muscat", Domain: "muscat-a", Address: up.Listener.Addr().String(), Slots: 100,
		}},
	}))
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	e := &entry{c, srv.URL}
	for _, tt := range []struct {
		path string
		want int
	}{{"/long/1", http.StatusOK}, {"/long/2", http.StatusOK}, {"/short/1", http.StatusOK}, {"/short/2", http.StatusOK}} {
		if got := e.send(t, http.MethodGet, tt.path, "", header.RequestID, tt.path); got.status != tt.want {
			t.Errorf("%s: status %d, want %d: %s", tt.path, got.status, tt.want, got.body)
		}
	}
}
