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
	// reportAge is the usual age of the other entries' reports of their requests. While requests wait
	// at the entries, an upstream gets as many more than it runs as it finishes in this time: with
	// fewer it would be idle until the entries know of its free slots.
	reportAge = 150 * time.Millisecond
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
	if req.Ordered || req.Objective <= 0 || wait <= 0 {
		return false
	}
	return b.roundTrip[u.Region]+wait+b.warmWork(req) > req.Objective
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
func (b *Balancer) hasCapacity(u *upstreamState, now time.Time, req ObjectRequest) bool {
	if now.Before(u.shedUntil) || u.awaitsRecovery(now) || b.cold(u, now) && !b.allowCold(u, now) {
		return false
	}
	places := b.capacity(u, now, req) - b.outstanding(u, now)
	return places >= 1 && (!req.Ordered || req.Reserved == 0 || b.takesTurn(u, now, places, req))
}

const (
	// turnLength is the time for which an entry has or lacks the turn at an upstream, and turnsPerReport
	// the number of turns after which the other entries know of a request.
	turnLength     = 10 * time.Millisecond
	turnsPerReport = 4
	// replacedWithin is the time after the end of a request in which its entry may send another one in
	// its place.
	replacedWithin = 2 * time.Millisecond
)

// takesTurn reports whether this entry may take one of the places behind the slots of an upstream now.
// All entries see the same free places until they know of each other's requests, so that each of those
// that use the upstream takes only its part of them, at times of its own. The place of an own request that has
// just ended is taken at once, and so are free slots while no request waits.
func (b *Balancer) takesTurn(u *upstreamState, now time.Time, places float64, req ObjectRequest) bool {
	if !req.Crowded && b.outstanding(u, now)+1 <= float64(u.Slots) || now.Sub(u.endedAt) < replacedWithin {
		return true
	}
	users := float64(1 + len(u.peerRequests.byPeer))
	turn := uint64(now.UnixNano() / int64(turnLength))
	return uniform(u.idHash^mix(turn^b.selfHash)) < places/(turnsPerReport*users*req.Reserved*req.Reserved*req.Reserved)
}

// capacity returns how many requests an upstream may have, running and waiting. An upstream that
// fails repeatedly gets one request at a time, to detect its recovery.
func (b *Balancer) capacity(u *upstreamState, now time.Time, req ObjectRequest) float64 {
	if u.failures >= ejectionThreshold {
		return 1
	}
	perSlot := maxRequestsPerSlot
	if req.Ordered {
		work := time.Duration(u.currentSlowdown(now) * float64(b.warmWork(req)))
		perSlot = 1 + (orderedPerSlot(work)-1)*(1-req.Reserved)
	}
	return perSlot * float64(max(u.Slots, 1))
}

// orderedPerSlot returns how many requests an upstream may have per slot while further ones wait at the
// entries, where order is kept. work is the time for which a request holds a slot.
func orderedPerSlot(work time.Duration) float64 {
	if work <= 0 {
		return maxRequestsPerSlot
	}
	return min(maxRequestsPerSlot, 1+float64(reportAge)/float64(work))
}

// warmWork returns the time for which a request holds a slot of an upstream that is warm for its object.
func (b *Balancer) warmWork(req ObjectRequest) time.Duration {
	return cmp.Or(b.classStats(req.Class).warm, req.assumedServiceTime())
}

// Outlook is what a request that waits at the entry can expect.
type Outlook struct {
	// Work is the time for which the request holds a slot.
	Work time.Duration
	// Response is the time from sending the request to an upstream that has as many as it may have
	// to the response.
	Response time.Duration
	// PerSecond is the even part of this entry in the requests per second that all upstreams can do; 0
	// if unknown.
	PerSecond float64
}

// Outlook returns what a request can expect if it waits at the entry.
func (b *Balancer) Outlook(now time.Time, req ObjectRequest) Outlook {
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.recentRoom(now)
	work := b.warmWork(req)
	o := Outlook{Work: work, Response: work + time.Duration((orderedPerSlot(work)-1)*float64(work)) + b.roundTrip[b.region]}
	if mean := cmp.Or(room.Work, work); mean > 0 {
		o.PerSecond = room.Slots / mean.Seconds() / float64(max(1, len(b.entries)))
	}
	return o
}
