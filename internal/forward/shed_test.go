package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
)

// ParseResponse implements Protocol. A response with status 429 is a shed by an upstream that
// does not state its load.
func (p routedProtocol) ParseResponse(resp *http.Response, info *RequestInfo, svc *model.Service) ResponseInfo {
	if resp.StatusCode == http.StatusTooManyRequests {
		return ResponseInfo{NotRunReason: ReasonShed, Identified: resp.Header.Get(header.RequestID) == info.ID, Announcement: balance.NoAnnouncement()}
	}
	return p.Native.ParseResponse(resp, info, svc)
}

// TestIdleShedIsRetried makes the upstream of an object shed requests although it is idle. It
// must be tried again, since the object is cold at other upstreams; only the last attempt goes
// to another upstream.
func TestIdleShedIsRetried(t *testing.T) {
	for _, tt := range []struct {
		name     string
		attempts int
		first    []behaviour
		other    int
	}{
		{"retried at the same upstream", 3, []behaviour{sheds}, 0},
		{"last attempt at the other upstream", 3, []behaviour{sheds, sheds}, 1},
		{"only retry at the other upstream", 2, []behaviour{sheds}, 1},
	} {
		a, b := newFakeUpstream(t), newFakeUpstream(t)
		route := &model.Route{
			Name: "r", Attempts: tt.attempts, Timeout: time.Minute, Affinity: true,
			Services: []model.WeightedService{{Service: "orders", Weight: 1}},
		}
		e := newRoutedEntry(t, 1, route, []*fakeUpstream{a, b})
		e.send(t, http.MethodPost, "/x", "", header.RequestID, "r0")
		if len(a.received()) == 0 {
			a, b = b, a
		}
		a.mu.Lock()
		a.next = tt.first
		a.mu.Unlock()
		if got := e.send(t, http.MethodPost, "/x", "", header.RequestID, "r1"); got.status != http.StatusOK {
			t.Errorf("%s: status %d", tt.name, got.status)
		}
		if n := len(b.received()); n != tt.other {
			t.Errorf("%s: the other upstream ran %d requests, want %d", tt.name, n, tt.other)
		}
	}
}
