package forward

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/overload"
)

// promisingGate refuses all requests with a promised time of return, 0 if there is none.
type promisingGate time.Duration

// Admit implements overload.Gate.
func (g promisingGate) Admit(time.Time, overload.Request) overload.Verdict {
	return overload.Verdict{Refused: true, RetryAfter: time.Duration(g)}
}

// TestRefusalSaysWhetherReturnIsPromised checks that a refusal by the gate has a Retry-After only if room
// is kept for the return, says so, and that the request has not run.
func TestRefusalSaysWhetherReturnIsPromised(t *testing.T) {
	for _, promised := range []time.Duration{0, 250 * time.Millisecond} {
		f := newOrderFixture(t, func(string) overload.Gate { return promisingGate(promised) })
		resp, err := http.Get(f.url + "/a")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var body ErrorResponse
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || body.Verdict != "not-run" || body.Reason != reasonOverFairShare {
			t.Errorf("promised %v: status %d, %+v", promised, resp.StatusCode, body)
		}
		if body.RetryAfterMillis != promised.Milliseconds() || (resp.Header.Get("Retry-After") == "") != (promised == 0) || (body.Detail == "") != (promised > 0) {
			t.Errorf("promised %v: Retry-After %q, %+v", promised, resp.Header.Get("Retry-After"), body)
		}
		if ran := f.began(); len(ran) != 0 {
			t.Errorf("promised %v: ran %v", promised, ran)
		}
	}
}
