package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// deadlines holds the requests under way by their deadlines. Timers go by the steady
// clock, so that the deadline of a request which a suspension of the machine has passed
// would be met only that much later: expire ends it at once. It is safe for concurrent use.
type deadlines struct {
	mu     sync.Mutex
	active map[*expiring]struct{}
}

// expiring is a context that ends at a time, with the error of a deadline.
type expiring struct {
	context.Context
	cancel  context.CancelFunc
	at      time.Time
	expired atomic.Bool
}

// Err implements context.Context.
func (e *expiring) Err() error {
	if e.expired.Load() {
		return context.DeadlineExceeded
	}
	return e.Context.Err()
}

func (e *expiring) expire() {
	e.expired.Store(true)
	e.cancel()
}

func newDeadlines() *deadlines { return &deadlines{active: make(map[*expiring]struct{})} }

// with returns a context that ends at a time of the caller's clock, and how to release it.
func (d *deadlines) with(ctx context.Context, now, at time.Time) (context.Context, func()) {
	inner, cancel := context.WithCancel(ctx)
	e := &expiring{Context: inner, cancel: cancel, at: at}
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

// expire ends the requests whose deadline has passed.
func (d *deadlines) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := range d.active {
		if !now.Before(e.at) {
			e.expire()
		}
	}
}
