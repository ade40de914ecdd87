package forward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRefusedWhileWaitingDoesNotRun guards against promises for requests that wait in order for an
// upstream and get one at the moment at which their wait ends otherwise.
func TestRefusedWhileWaitingDoesNotRun(t *testing.T) {
	const waiting, rounds = 6, 20
	for name, event := range map[string]func(f *orderFixture, leave func()){
		"expiry":        func(f *orderFixture, _ func()) { f.proxy.ExpireRequests() },
		"suspension":    func(f *orderFixture, _ func()) { f.proxy.deadlines.expire(time.Now().Add(time.Hour)) },
		"configuration": func(f *orderFixture, _ func()) { f.configure(2, 1, 0) },
		"callers leave": func(_ *orderFixture, leave func()) { leave() },
		"configuration and expiry": func(f *orderFixture, _ func()) {
			f.configure(2, 1, 0)
			f.proxy.ExpireRequests()
		},
	} {
		t.Run(name, func(t *testing.T) {
			refused, ran := 0, 0
			for round := range rounds {
				f := newOrderFixture(t, nil)
				f.fill()
				ctx, leave := context.WithCancel(t.Context())
				for i := range waiting {
					f.send(ctx, []string{"/a", "/b"}[i%2], fmt.Sprint("waits", i))
				}
				for range round % (fixtureSlots + 1) {
					f.finish <- struct{}{}
				}
				event(f, leave)
				f.finishAll()
				leave()
				for i := range waiting {
					id := fmt.Sprint("waits", i)
					began := slices.Contains(f.began(), id)
					if status := f.status(id); ImpliesNotRun(status) {
						refused++
						if began {
							t.Errorf("%s ran, but was answered %d", id, status)
						}
					}
					if began {
						ran++
					}
				}
			}
			t.Logf("%d requests refused, %d ran", refused, ran)
		})
	}
}

// finishAll lets the upstream end requests until all are answered.
func (f *orderFixture) finishAll() {
	answered := make(chan struct{})
	go func() {
		f.calls.Wait()
		close(answered)
	}()
	for {
		select {
		case f.finish <- struct{}{}:
		case <-answered:
			return
		}
	}
}

// TestUpstreamPickedForRefusedRequestIsGivenBack has a waiting request get an upstream between the end of
// its wait and the moment at which it leaves the queue.
func TestUpstreamPickedForRefusedRequestIsGivenBack(t *testing.T) {
	for name, event := range map[string]func(f *orderFixture, leave func()){
		"expiry":        func(f *orderFixture, _ func()) { f.proxy.ExpireRequests() },
		"callers leave": func(_ *orderFixture, leave func()) { leave() },
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				f := newOrderFixture(t, nil)
				f.fill()
				ctx, leave := context.WithCancel(t.Context())
				f.send(ctx, "/a", "waits")
				state := f.proxy.serviceState("orders")
				state.ordered.mu.Lock()
				event(f, leave)
				f.finish <- struct{}{}
				f.await("the upstream is not picked", func() bool {
					f.proxy.dispatch(time.Now(), state)
					return state.ordered.queue.Len() == 0
				})
				state.ordered.mu.Unlock()
				f.finishAll()
				leave()
				if slices.Contains(f.began(), "waits") && ImpliesNotRun(f.status("waits")) {
					t.Errorf("it ran, but was answered %d", f.status("waits"))
				}
				if n := f.proxy.Dump()["orders"].Upstreams[0].InFlight; n != 0 {
					t.Errorf("%d requests in flight, want none", n)
				}
			}
		})
	}
}
