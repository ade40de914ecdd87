package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// deadlineSet holds the deadlines of the requests in flight. Timers use the monotonic clock,
// which stops while the machine is suspended, so a timer fires late by the time of the
// suspension. expire ends such requests at once. It is safe for concurrent use.
type deadlineSet struct {
	mu     sync.Mutex
	active map[*deadlineContext]struct{}
}

// deadlineContext is a context that ends with context.DeadlineExceeded at its deadline.
type deadlineContext struct {
	context.Context
	cancel   context.CancelFunc
	deadline time.Time
	expired  atomic.Bool
}

// Err implements context.Context.
func (e *deadlineContext) Err() error {
	if e.expired.Load() {
		return context.DeadlineExceeded
	}
	return e.Context.Err()
}

func (e *deadlineContext) expire() {
	e.expired.Store(true)
	e.cancel()
}

func newDeadlineSet() *deadlineSet { return &deadlineSet{active: make(map[*deadlineContext]struct{})} }

// withDeadline returns a context that ends at the time at, where now is the current time of the
// caller's clock. The returned function releases the context.
func (d *deadlineSet) withDeadline(ctx context.Context, now, at time.Time) (context.Context, func()) {
	inner, cancel := context.WithCancel(ctx)
	e := &deadlineContext{Context: inner, cancel: cancel, deadline: at}
	timer := time.AfterFunc(at.Sub(now), e.expire)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[e] = struct{}{}
	return e, func() {
		timer.Stop()
		cancel()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.active, e)
	}
}

// expireAll ends all contexts as if their deadlines had passed.
func (d *deadlineSet) expireAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := range d.active {
		e.expire()
	}
}

// expire ends the contexts whose deadline is not after now.
func (d *deadlineSet) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := range d.active {
		if !now.Before(e.deadline) {
			e.expire()
		}
	}
}
