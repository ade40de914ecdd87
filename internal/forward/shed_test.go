package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
)

// ParseResponse implements Protocol: 429 is a shed, by an upstream that does not tell its load.
func (p routed) ParseResponse(resp *http.Response, ask *RequestInfo, svc *model.Service) ResponseInfo {
	if resp.StatusCode == http.StatusTooManyRequests {
		return ResponseInfo{NotRunReason: ReasonShed, Load: -1, Waiting: -1}
	}
	return p.Native.ParseResponse(resp, ask, svc)
}

// TestIdleShedIsAskedAgain has the upstream of an object refuse requests although it
// is idle. It is asked again, since the object is cold elsewhere; only the last attempt
// goes to another.
func TestIdleShedIsAskedAgain(t *testing.T) {
	for _, tt := range []struct {
		name     string
		attempts int
		first    []behaviour
		other    int
	}{
		{"again at the same", 3, []behaviour{sheds}, 0},
		{"the last elsewhere", 3, []behaviour{sheds, sheds}, 1},
		{"the only other elsewhere", 2, []behaviour{sheds}, 1},
	} {
		a, b := newFake(t), newFake(t)
		route := &model.Route{
			Name: "r", Attempts: tt.attempts, Timeout: time.Minute, Affinity: true,
			Services: []model.WeightedService{{Service: "orders", Weight: 1}},
		}
		e := newRouted(t, 1, route, []*fake{a, b})
		e.send(t, http.MethodPost, "/x", "", header.RequestID, "r0")
		if len(a.receipts()) == 0 {
			a, b = b, a
		}
		a.mu.Lock()
		a.next = tt.first
		a.mu.Unlock()
		if got := e.send(t, http.MethodPost, "/x", "", header.RequestID, "r1"); got.status != http.StatusOK {
			t.Errorf("%s: status %d", tt.name, got.status)
		}
		if n := len(b.receipts()); n != tt.other {
			t.Errorf("%s: the other ran %d, want %d", tt.name, n, tt.other)
		}
	}
}
