package balance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// fullAt is how many requests an upstream may have, running and waiting, per
	// slot. Beyond it a request would rather be refused early than be late and
	// make others late.
	fullAt = 3.0
	// priorShare is the part of a class's objective that its work is taken to need
	// until the first answers tell: operators set objectives that leave room to wait.
	priorShare = 0.5
)

// LateError reports that every upstream would answer too late for the objective
// now, but probably not after a while.
type LateError struct {
	// Upstream is the one with the least wait for a slot, Ahead how many requests
	// were thought to be there.
	Upstream    string
	Outstanding float64
	// RetryAfter is that wait.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("balance: too late now: %.0f requests at %s, a slot in %v", e.Outstanding, e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoSlot, of which a LateError is a kind.
func (e *LateError) Unwrap() error { return ErrNoSlot }

// full is the error when no candidate may take a request. It says when the first
// of them should have a slot.
func (g *Balancer) full(now time.Time, req ObjectRequest, ranked []candidate) error {
	var first *member
	var least time.Duration
	for _, c := range ranked {
		if c.rateWait(now) > 0 {
			continue
		}
		if w := g.wait(c.m, now, req); first == nil || w < least {
			first, least = c.m, w
		}
	}
	switch {
	case first == nil:
		return g.limitError(now, ranked)
	case least <= 0:
		return ErrNoSlot
	}
	return &LateError{Upstream: first.ID, Outstanding: g.estimate(first, now), RetryAfter: least}
}

// tooLate reports whether the wait for a slot alone would make an answer miss its
// objective. Such a request is better refused at once: it may be in time when it
// comes back, and does not make others late. An object that is not at hand is no
// reason, or it would never be.
func (g *Balancer) tooLate(m *member, now time.Time, req ObjectRequest) bool {
	wait := g.wait(m, now, req)
	if req.Objective <= 0 || wait <= 0 {
		return false
	}
	warm := cmp.Or(g.times(req.Class).warm, req.priorWork())
	return g.roundTrip[m.Region]+wait+warm > req.Objective
}

// priorWork is what is assumed of the work before any was seen, as after a
// restart, when all callers come back at once.
func (r *ObjectRequest) priorWork() time.Duration {
	return time.Duration(priorShare * float64(r.Objective))
}

// wait is the expected time until one more request at an upstream gets a slot.
func (g *Balancer) wait(m *member, now time.Time, req ObjectRequest) time.Duration {
	slots := float64(max(m.Slots, 1))
	ahead := math.Max(0, g.estimate(m, now)+1+float64(m.failures)-slots) / slots
	return time.Duration(ahead * float64(cmp.Or(g.meanWork, req.priorWork())))
}

// hasRoom reports whether one more request may join those at an upstream.
func (g *Balancer) hasRoom(m *member, now time.Time) bool {
	if now.Before(m.shedUntil) || g.cold(m, now) && !g.takesCold(m, now) {
		return false
	}
	return g.estimate(m, now)+1 <= g.capacity(m)
}

// capacity is how many requests an upstream may have, running and waiting. One
// that fails again and again gets one at a time, to see when it is well again.
func (g *Balancer) capacity(m *member) float64 {
	if m.failures >= ejectAfter {
		return 1
	}
	return fullAt * float64(max(m.Slots, 1))
}
