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
	maxRequestsPerSlot = 3.0
	// priorShare is the part of a class's objective that its work is taken to need
	// until the first answers tell: operators set objectives that leave room to wait.
	assumedServiceShare = 0.5
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
func (b *Balancer) noSlotError(now time.Time, req ObjectRequest, ranked []candidate) error {
	var first *upstreamState
	var least time.Duration
	for _, c := range ranked {
		if c.limitWait(now) > 0 {
			continue
		}
		if w := b.expectedWait(c.state, now, req); first == nil || w < least {
			first, least = c.state, w
		}
	}
	switch {
	case first == nil:
		return b.limitError(now, ranked)
	case least <= 0:
		return ErrNoSlot
	}
	return &LateError{Upstream: first.ID, Outstanding: b.outstanding(first, now), RetryAfter: least}
}

// tooLate reports whether the wait for a slot alone would make an answer miss its
// objective. Such a request is better refused at once: it may be in time when it
// comes back, and does not make others late. An object that is not at hand is no
// reason, or it would never be.
func (b *Balancer) missesObjective(u *upstreamState, now time.Time, req ObjectRequest) bool {
	wait := b.expectedWait(u, now, req)
	if req.Objective <= 0 || wait <= 0 {
		return false
	}
	warm := cmp.Or(b.classStats(req.Class).warm, req.assumedServiceTime())
	return b.roundTrip[u.Region]+wait+warm > req.Objective
}

// priorWork is what is assumed of the work before any was seen, as after a
// restart, when all callers come back at once.
func (r *ObjectRequest) assumedServiceTime() time.Duration {
	return time.Duration(assumedServiceShare * float64(r.Objective))
}

// wait is the expected time until one more request at an upstream gets a slot.
func (b *Balancer) expectedWait(u *upstreamState, now time.Time, req ObjectRequest) time.Duration {
	slots := float64(max(u.Slots, 1))
	ahead := math.Max(0, b.outstanding(u, now)+1+float64(u.failures)-slots) / slots
	return time.Duration(ahead * float64(cmp.Or(b.meanServiceTime, req.assumedServiceTime())))
}

// hasRoom reports whether one more request may join those at an upstream.
func (b *Balancer) hasCapacity(u *upstreamState, now time.Time) bool {
	if now.Before(u.shedUntil) || b.cold(u, now) && !b.allowCold(u, now) {
		return false
	}
	return b.outstanding(u, now)+1 <= b.capacity(u)
}

// capacity is how many requests an upstream may have, running and waiting. One
// that fails again and again gets one at a time, to see when it is well again.
func (b *Balancer) capacity(u *upstreamState) float64 {
	if u.failures >= ejectionThreshold {
		return 1
	}
	return maxRequestsPerSlot * float64(max(u.Slots, 1))
}
