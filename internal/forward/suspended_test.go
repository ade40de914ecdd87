package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// suspendableClock is the clock of a machine that can be suspended. During a suspension the
// boot clock advances and the monotonic clock does not.
type suspendableClock struct {
	*bootclock.Clock
	suspended atomic.Int64
}

func newSuspendableClock() *suspendableClock {
	s := &suspendableClock{}
	start := time.Now()
	monotonic := func() time.Duration { return time.Since(start) }
	s.Clock = bootclock.NewClockFrom(start, monotonic, func() time.Duration { return monotonic() + time.Duration(s.suspended.Load()) })
	return s
}

// suspend simulates a suspension of the machine for d.
func (s *suspendableClock) suspend(d time.Duration) { s.suspended.Add(int64(d)) }

// newEntryWithClock returns an entry with the given clock in front of one upstream.
func newEntryWithClock(t *testing.T, clock *suspendableClock, f *fakeUpstream) *entry {
	c := New(Options{
		MaxInFlight: 100, Now: clock.Now, SyncNow: clock.SyncNow, CapShares: share.NewLimiter(), BootClock: func() int64 { return 0 },
		NewID: func() string { return "own" }, Observe: func(Outcome) {},
	})
	deadline := tree.Edit{Path: "/services/orders", Key: tree.KeyDeadline, Value: "1m"}
	in := model.Input{Region: "muscat", Revision: 1, Tree: new(tree.Tree).Apply([]tree.Edit{deadline}, 1)}
	in.Members = []membership.Member{{ID: "n1", State: membership.Alive, Region: "muscat", Entry: "10.0.0.1:80"}}
	in.Directory.Upstreams = []model.Upstream{{ID: "u0", Service: "orders", Region: "muscat", Domain: "a", Address: f.lis.Addr().String(), Slots: 4}}
	c.Update(model.Compile(in))
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	return &entry{c, srv.URL}
}

// TestDeadlinePassesWhileSuspended suspends the machine past the deadline of a request that is
// at an upstream.
func TestDeadlinePassesWhileSuspended(t *testing.T) {
	clock, f := newSuspendableClock(), newFakeUpstream(t, hangs)
	e := newEntryWithClock(t, clock, f)
	responses := make(chan result, 1)
	go func() { responses <- e.send(t, "POST", "/x", "", header.Deadline, "20000") }()
	for len(f.received()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Tick()
	select {
	case a := <-responses:
		t.Fatalf("status %d before the suspension", a.status)
	case <-time.After(50 * time.Millisecond):
	}
	clock.suspend(2 * time.Minute)
	e.Tick()
	select {
	case a := <-responses:
		if a.status != http.StatusGatewayTimeout {
			t.Errorf("status %d", a.status)
		}
	case <-time.After(10 * time.Second):
		t.Error("no response before the monotonic clock reaches the deadline")
	}
}

// TestIdleConnectionsExpireDuringSuspension leaves a connection idle during a suspension that
// is longer than upstreams keep idle connections.
func TestIdleConnectionsExpireDuringSuspension(t *testing.T) {
	clock, f := newSuspendableClock(), newFakeUpstream(t)
	e := newEntryWithClock(t, clock, f)
	pool := e.transport.(*Pool)
	addr := f.lis.Addr().String()
	e.send(t, "GET", "/x", "")
	for pool.idleCount(addr) == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.suspend(2 * defaultIdleTimeout)
	clock.SyncNow()
	if c := pool.pop(addr, "", time.Time{}); c == nil || clock.Now().Before(c.idleDeadline) {
		t.Error("a connection that was idle during the suspension has not expired")
	}
}

// idleCount returns the number of idle connections to an address.
func (p *Pool) idleCount(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr])
}

// TestHoldsExpireWhileSuspended holds a request and suspends the machine for longer than holds
// last.
func TestHoldsExpireWhileSuspended(t *testing.T) {
	clock, f := newSuspendableClock(), newFakeUpstream(t)
	e := newEntryWithClock(t, clock, f)
	req := poison.Request{Method: "GET", Host: "a", Target: "/x"}
	keys := req.HeadKeys()
	for i := range 3 {
		e.poison.RecordCrash(clock.Now(), keys, keys, uint32(i))
	}
	if d := e.poison.Begin(clock.SyncNow(), keys); !d.Held {
		t.Fatal("the request is not held")
	}
	clock.suspend(time.Hour)
	if d := e.poison.Begin(clock.SyncNow(), keys); d.Held {
		t.Error("the request is still held after the suspension")
	}
}
