package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
)

// The tests in this file guard against refusing requests for which the limit of an upstream has room
// a few milliseconds later.

// newLimitedEntry returns an entry in front of one upstream that has announced a limit, in
// requests per second, which has no room left for now.
// The timeout of the returned route is a minute.
func newLimitedEntry(t *testing.T, perSecond string) (*entry, *fakeUpstream, *model.Route) {
	f := newFakeUpstream(t)
	f.upstreamLimit = perSecond
	route := &model.Route{
		Name: "r", Idempotent: true, Attempts: 1, Timeout: time.Minute, Affinity: true,
		Services: []model.WeightedService{{Service: "orders", Weight: 1}},
	}
	e := newRoutedEntry(t, 1, route, []*fakeUpstream{f})
	if got := e.send(t, http.MethodGet, "/x", "", header.RequestID, "first"); got.status != http.StatusOK {
		t.Fatalf("first request: status %d: %s", got.status, got.body)
	}
	return e, f, route
}

// TestRequestsWaitForUpstreamLimit sends requests one after the other, each shortly before the
// limit has room for it.
func TestRequestsWaitForUpstreamLimit(t *testing.T) {
	const requests = 10
	e, f, _ := newLimitedEntry(t, "20")
	for i := range requests {
		if got := e.send(t, http.MethodGet, "/x", "", header.RequestID, fmt.Sprint("r", i)); got.status != http.StatusOK {
			t.Errorf("request %d: status %d: %s", i, got.status, got.body)
		}
	}
	if n := len(f.received()); n != 1+requests {
		t.Errorf("%d requests ran, want %d", n, 1+requests)
	}
}

// TestDeadlineEndsWaitForUpstreamLimit sends a request whose deadline passes while it waits for the
// limit. It must not run, and must give back its slot of the upstream. A trial in which the limit may have
// had room before the deadline, because the process was not running, is repeated.
func TestDeadlineEndsWaitForUpstreamLimit(t *testing.T) {
	const limit, noRoomFor, trials = "10.5", time.Second / 11, 20
	for range trials {
		began := time.Now()
		e, f, route := newLimitedEntry(t, limit)
		route.Timeout = 50 * time.Millisecond
		got := e.send(t, http.MethodGet, "/x", "", header.RequestID, "r")
		if time.Since(began) >= noRoomFor {
			continue
		}
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, %v", got.status, got.header)
		}
		if n := len(f.received()); n != 1 {
			t.Errorf("%d requests ran, want only the first", n)
		}
		if n := e.Dump()["orders"].Upstreams[0].InFlight; n != 0 {
			t.Errorf("%d requests in flight, want none", n)
		}
		return
	}
	t.Errorf("no wait ended at its deadline in %d trials", trials)
}
