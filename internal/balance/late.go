package balance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// maxRequestsPerSlot is how many requests an upstream may have per slot, running and waiting.
	// Beyond it, a request is better refused early than answered late and delaying others.
	maxRequestsPerSlot = 3.0
	// assumedServiceShare is the service time assumed for a class before the first answers, as a
	// share of its objective: operators set objectives that leave time for waiting.
	assumedServiceShare = 0.5
)

// LateError reports that at present every upstream would miss the request's objective, but that a
// retry after RetryAfter will probably meet it.
type LateError struct {
	// Upstream is the ID of the upstream with the shortest wait for a slot, Outstanding the
	// estimated number of requests at it.
	Upstream    string
	Outstanding float64
	// RetryAfter is the expected wait for a slot at that upstream.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return fmt.Sprintf("balance: too late now: %.0f requests at %s, a slot in %v", e.Outstanding, e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoSlot; a LateError is a special case of it.
func (e *LateError) Unwrap() error { return ErrNoSlot }

// noSlotError returns the error for a request that no candidate can take: a LateError with the
// shortest wait for a slot, a LimitError if the limits of all candidates leave no room, else
// ErrNoSlot.
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

// missesObjective reports whether the wait for a slot alone makes an answer miss its objective.
// Such a request is better refused at once: a retry may be in time, and other requests are not
// delayed. The check assumes a warm object; otherwise no request would ever make an upstream warm
// for it.
func (b *Balancer) missesObjective(u *upstreamState, now time.Time, req ObjectRequest) bool {
	wait := b.expectedWait(u, now, req)
	if req.Objective <= 0 || wait <= 0 {
		return false
	}
	warm := cmp.Or(b.classStats(req.Class).warm, req.assumedServiceTime())
	return b.roundTrip[u.Region]+wait+warm > req.Objective
}

// assumedServiceTime returns the service time assumed until the first one is observed, for example
// after a restart, when all callers return at once.
func (r *ObjectRequest) assumedServiceTime() time.Duration {
	return time.Duration(assumedServiceShare * float64(r.Objective))
}

// expectedWait returns the expected time until one more request at an upstream gets a slot.
func (b *Balancer) expectedWait(u *upstreamState, now time.Time, req ObjectRequest) time.Duration {
	slots := float64(max(u.Slots, 1))
	ahead := math.Max(0, b.outstanding(u, now)+1+float64(u.failures)-slots) / slots
	return time.Duration(ahead * float64(cmp.Or(b.meanServiceTime, req.assumedServiceTime())))
}

// hasCapacity reports whether an upstream may be sent one more request.
func (b *Balancer) hasCapacity(u *upstreamState, now time.Time) bool {
	if now.Before(u.shedUntil) || u.awaitsRecovery(now) || b.cold(u, now) && !b.allowCold(u, now) {
		return false
	}
	return b.outstanding(u, now)+1 <= b.capacity(u)
}

// capacity returns how many requests an upstream may have, running and waiting. An upstream that
// fails repeatedly gets one request at a time, to detect its recovery.
func (b *Balancer) capacity(u *upstreamState) float64 {
	if u.failures >= ejectionThreshold {
		return 1
	}
	return maxRequestsPerSlot * float64(max(u.Slots, 1))
}
