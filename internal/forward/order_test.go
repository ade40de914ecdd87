package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/overload"
	"github.com/loomkeel/loomkeel/internal/share"
)

// fixtureSlots is the number of slots of the upstream of an orderFixture.
const fixtureSlots = 4

// orderFixture is an entry in front of one upstream, which two routes of different priority share.
type orderFixture struct {
	t     *testing.T
	proxy *Proxy
	url   string
	in    model.RoutedInput
	// finish lets the upstream end one request for each value.
	finish chan struct{}
	calls  sync.WaitGroup

	mu sync.Mutex
	// ran has the IDs of the requests in the order in which they began to run, and statuses the status
	// of each answer.
	ran      []string
	statuses map[string]int
}

func newOrderFixture(t *testing.T, gate func(string) overload.Gate) *orderFixture {
	f := &orderFixture{t: t, finish: make(chan struct{}, 16), statuses: make(map[string]int)}
	f.proxy = New(Options{
		MaxInFlight: 100, Now: time.Now, Protocol: configRoutes{}, CapShares: share.NewLimiter(), Domain: "muscat-a", Gate: gate,
		BootClock: func() int64 { return 0 }, NewID: func() string { return "own" }, Observe: func(Outcome) {},
	})
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(header.RequestID)
		f.mu.Lock()
		f.ran = append(f.ran, id)
		f.mu.Unlock()
		<-f.finish
		w.Header().Set(header.RequestID, id)
	}))
	srv := httptest.NewServer(f.proxy)
	t.Cleanup(func() {
		close(f.finish)
		f.calls.Wait()
		srv.Close()
		up.Close()
	})
	f.url = srv.URL
	f.in = model.RoutedInput{
		Region: "muscat", RetryBudget: 1, RetryBurst: 100,
		Members:   []model.Member{{ID: "n0", Region: "muscat", State: membership.Alive}},
		Upstreams: []model.Upstream{{ID: "u", Service: "orders", Region: "muscat", Domain: "muscat-a", Address: up.Listener.Addr().String(), Slots: fixtureSlots}},
	}
	f.configure(1, 0, 1)
	return f
}

// configure puts a configuration into force with the priorities of the routes /a and /b.
func (f *orderFixture) configure(version uint64, a, b int) {
	f.in.Config = &model.Config{Version: version, Services: map[string]model.ServiceConfig{"orders": {}}}
	for prefix, priority := range map[string]int{"/a": a, "/b": b} {
		f.in.Config.Routes = append(f.in.Config.Routes, &model.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Attempts: 1, Timeout: time.Minute, Objective: 4 * time.Second, Priority: priority,
			Services: []model.WeightedService{{Service: "orders", Weight: 1}},
		})
	}
	f.proxy.Update(model.CompileRouted(f.in))
}

// send begins a request and returns once it runs or waits.
func (f *orderFixture) send(ctx context.Context, path, id string) {
	f.t.Helper()
	ran, waiting := f.began(), f.waiting()
	f.calls.Go(func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, nil)
		req.Header.Set(header.RequestID, id)
		resp, err := http.DefaultClient.Do(req)
		f.mu.Lock()
		defer f.mu.Unlock()
		if err != nil {
			return
		}
		resp.Body.Close()
		f.statuses[id] = resp.StatusCode
	})
	f.await("the request neither runs nor waits", func() bool { return len(f.began()) > len(ran) || f.waiting() > waiting || f.status(id) != 0 })
}

func (f *orderFixture) began() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ran)
}

func (f *orderFixture) status(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statuses[id]
}

func (f *orderFixture) waiting() int {
	n := 0
	for _, s := range f.proxy.Dump()["orders"].Ranks {
		n += s.Waiting
	}
	return n
}

// await waits until a condition holds.
func (f *orderFixture) await(failure string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(3 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal(failure)
		}
	}
}

// fill sends as many of the less urgent requests as the upstream has slots.
func (f *orderFixture) fill() {
	for i := range fixtureSlots {
		f.send(f.t.Context(), "/b", fmt.Sprint("busy", i))
	}
}

// finishOthers lets the upstream end one request after the other until n waiting ones have run, and
// returns these.
func (f *orderFixture) finishOthers(n int) []string {
	f.t.Helper()
	for i := range n {
		f.finish <- struct{}{}
		f.await("a waiting request does not run", func() bool { return len(f.began()) > fixtureSlots+i })
	}
	return f.began()[fixtureSlots:]
}

// TestUrgentRequestIsLetPast has a more urgent request arrive after others that wait.
func TestUrgentRequestIsLetPast(t *testing.T) {
	f := newOrderFixture(t, nil)
	f.fill()
	f.send(t.Context(), "/b", "waits")
	f.send(t.Context(), "/a", "urgent")
	if got, want := f.finishOthers(2), []string{"urgent", "waits"}; !slices.Equal(got, want) {
		t.Errorf("ran %v, want %v", got, want)
	}
}

// TestPriorityChangesWhileRequestsWait turns the priorities round while requests wait.
func TestPriorityChangesWhileRequestsWait(t *testing.T) {
	f := newOrderFixture(t, nil)
	f.fill()
	f.send(t.Context(), "/b", "now urgent")
	f.send(t.Context(), "/a", "was urgent")
	f.configure(2, 1, 0)
	f.await("the requests no longer wait", func() bool { return f.waiting() == 2 })
	if got, want := f.finishOthers(2), []string{"now urgent", "was urgent"}; !slices.Equal(got, want) {
		t.Errorf("ran %v, want %v", got, want)
	}
}

// TestCallerLeavesQueue has the caller of a waiting request leave. The request must not run, although it is
// one that continues after its caller has left once it runs.
func TestCallerLeavesQueue(t *testing.T) {
	f := newOrderFixture(t, nil)
	f.fill()
	ctx, cancel := context.WithCancel(t.Context())
	f.send(ctx, "/a", "leaves")
	f.send(t.Context(), "/b", "stays")
	cancel()
	f.await("the request still waits", func() bool { return f.waiting() == 1 })
	if got, want := f.finishOthers(1), []string{"stays"}; !slices.Equal(got, want) {
		t.Errorf("ran %v, want %v", got, want)
	}
}

// TestStoppingEntryServesQueue stops an entry while requests wait. They are served, and no other is taken.
func TestStoppingEntryServesQueue(t *testing.T) {
	f := newOrderFixture(t, nil)
	f.fill()
	f.send(t.Context(), "/b", "waits")
	f.proxy.Stop()
	f.send(t.Context(), "/a", "after")
	if f.status("after") != http.StatusServiceUnavailable {
		t.Errorf("status %d after the stop", f.status("after"))
	}
	f.finishOthers(1)
}

// closedGate refuses requests of rank 1.
type closedGate struct{}

// Admit implements overload.Gate.
func (closedGate) Admit(_ time.Time, r overload.Request) overload.Verdict {
	return overload.Verdict{Refused: r.Rank == 1, RetryAfter: time.Second}
}

// TestGateRefuses has a gate refuse requests although the upstream is idle.
func TestGateRefuses(t *testing.T) {
	f := newOrderFixture(t, func(string) overload.Gate { return closedGate{} })
	f.send(t.Context(), "/b", "refused")
	f.send(t.Context(), "/a", "admitted")
	f.finish <- struct{}{}
	f.await("the admitted request is not served", func() bool { return f.status("admitted") == http.StatusOK })
	if f.status("refused") != http.StatusServiceUnavailable || len(f.began()) != 1 {
		t.Errorf("status %d, ran %v", f.status("refused"), f.began())
	}
}
