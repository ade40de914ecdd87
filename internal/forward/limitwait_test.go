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
func newLimitedEntry(t *testing.T, perSecond string, timeout time.Duration) (*entry, *fakeUpstream) {
	f := newFakeUpstream(t)
	f.upstreamLimit = perSecond
	route := &model.Route{
		Name: "r", Idempotent: true, Attempts: 1, Timeout: timeout, Affinity: true,
		Services: []model.WeightedService{{Service: "orders", Weight: 1}},
	}
	e := newRoutedEntry(t, 1, route, []*fakeUpstream{f})
	if got := e.send(t, http.MethodGet, "/x", "", header.RequestID, "first"); got.status != http.StatusOK {
		t.Fatalf("first request: status %d: %s", got.status, got.body)
	}
	return e, f
}

// TestRequestsWaitForUpstreamLimit sends requests one after the other, each shortly before the
// limit has room for it.
func TestRequestsWaitForUpstreamLimit(t *testing.T) {
	const requests = 10
	e, f := newLimitedEntry(t, "20", time.Minute)
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
// limit. It must not run, and must give back its slot of the upstream.
func TestDeadlineEndsWaitForUpstreamLimit(t *testing.T) {
	e, f := newLimitedEntry(t, "10.5", 50*time.Millisecond)
	if got := e.send(t, http.MethodGet, "/x", "", header.RequestID, "r"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v", got.status, got.header)
	}
	if n := len(f.received()); n != 1 {
		t.Errorf("%d requests ran, want only the first", n)
	}
	if n := e.Dump()["orders"].Upstreams[0].InFlight; n != 0 {
		t.Errorf("%d requests in flight, want none", n)
	}
}
