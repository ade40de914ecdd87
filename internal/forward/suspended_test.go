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

// sleeper is the clock of a machine that can be suspended: the boot clock goes on, the
// steady one does not.
type sleeper struct {
	*bootclock.Clock
	slept atomic.Int64
}

func newSleeper() *sleeper {
	s := &sleeper{}
	start := time.Now()
	steady := func() time.Duration { return time.Since(start) }
	s.Clock = bootclock.NewClockOf(start, steady, func() time.Duration { return steady() + time.Duration(s.slept.Load()) })
	return s
}

// sleep suspends the machine.
func (s *sleeper) sleep(d time.Duration) { s.slept.Add(int64(d)) }

// newSleepingEntry is an entry on such a machine in front of one upstream.
func newSleepingEntry(t *testing.T, clock *sleeper, f *fake) *entry {
	c := New(Options{
		MaxInFlight: 100, Now: clock.Now, SyncNow: clock.Check, CapShares: share.NewLimiter(), BootClock: func() int64 { return 0 },
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

// TestDeadlinePassesWhileSuspended suspends the machine while an upstream holds a request
// whose deadline the suspension passes.
func TestDeadlinePassesWhileSuspended(t *testing.T) {
	clock, f := newSleeper(), newFake(t, hangs)
	e := newSleepingEntry(t, clock, f)
	answered := make(chan told, 1)
	go func() { answered <- e.send(t, "POST", "/x", "", header.Deadline, "20000") }()
	for len(f.receipts()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Tick()
	select {
	case a := <-answered:
		t.Fatalf("answered with %d before", a.status)
	case <-time.After(50 * time.Millisecond):
	}
	clock.sleep(2 * time.Minute)
	e.Tick()
	select {
	case a := <-answered:
		if a.status != http.StatusGatewayTimeout {
			t.Errorf("status %d", a.status)
		}
	case <-time.After(10 * time.Second):
		t.Error("not answered before the steady clock reaches the deadline")
	}
}

// TestRestedConnectionsAreOldAfterSuspension rests a connection over a suspension that is
// longer than upstreams keep idle ones.
func TestRestedConnectionsAreOldAfterSuspension(t *testing.T) {
	clock, f := newSleeper(), newFake(t)
	e := newSleepingEntry(t, clock, f)
	pool := e.transport.(*Pool)
	addr := f.lis.Addr().String()
	e.send(t, "GET", "/x", "")
	for pool.resting(addr) == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.sleep(2 * defaultIdle)
	clock.Check()
	if c := pool.pop(addr, time.Time{}); c == nil || clock.Now().Before(c.keepUntil) {
		t.Error("a connection that rested over the suspension counts as fresh")
	}
}

// resting returns how many connections to an address rest.
func (p *Pool) resting(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr])
}

// TestHoldsRunOutWhileSuspended holds a request, and suspends the machine for longer than
// holds last.
func TestHoldsRunOutWhileSuspended(t *testing.T) {
	clock, f := newSleeper(), newFake(t)
	e := newSleepingEntry(t, clock, f)
	req := poison.Request{Method: "GET", Host: "a", Target: "/x"}
	keys := req.HeadKeys()
	for i := range 3 {
		e.poison.RecordCrash(clock.Now(), keys, keys, uint32(i))
	}
	if d := e.poison.Begin(clock.Check(), keys); !d.Held {
		t.Fatal("not held")
	}
	clock.sleep(time.Hour)
	if d := e.poison.Begin(clock.Check(), keys); d.Held {
		t.Error("held after the suspension")
	}
}
