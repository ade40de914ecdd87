package balance

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBackoff bounds the time for which an upstream can ask an entry to send nothing.
	maxBackoff = time.Hour
	// drainGrace is how long a draining upstream may still get the requests that no other upstream
	// can take.
	drainGrace = time.Second
	// sharedIDDrainTTL is how long an announced drain holds for an upstream whose ID may name a later
	// incarnation too.
	sharedIDDrainTTL = 5 * time.Minute
	// maxBackoffSpread is the largest part by which this entry prolongs a backoff, so that entries do
	// not return at one moment, and backoffSpreadShare its share of the backoff.
	maxBackoffSpread   = 500 * time.Millisecond
	backoffSpreadShare = 0.25
	// maxRecovery is how long after a backoff an upstream gets one request at a time at most. Requests
	// that cannot be retried do not try it, and an entry may have no others.
	maxRecovery = 2 * time.Second
	// minTurnedAway is the smallest number of entries that back off from an upstream that turns all away.
	minTurnedAway = 2
	// retention is how long the announcements of an upstream that has left the service are kept, in
	// case its entry comes back.
	retention = 10 * time.Minute
)

// Announcement is what one answer says about its upstream, regardless of the request that it
// answers.
type Announcement struct {
	// Load is the number of requests at the upstream, and Waiting the number of those that wait
	// there for a slot; -1 if the answer does not state them.
	Load, Waiting int
	// Slowdown is how many times as long as usual work takes at the upstream now; 0 if the answer
	// does not state it.
	Slowdown float64
	// Limit is the rate limit that the answer states, or that it states none.
	Limit RateLimit
	// Draining is set if the upstream wants no new requests from any entry.
	Draining bool
	// Backoff is how long the upstream wants no requests from this entry; 0 if the answer does not
	// ask for that.
	Backoff time.Duration
}

// NoAnnouncement returns the Announcement of an answer that says nothing about its upstream.
func NoAnnouncement() Announcement { return Announcement{Load: -1, Waiting: -1} }

// Observation is what Observe has learnt from an answer.
type Observation struct {
	// LimitChanged is set if the upstream's rate limit has changed, DrainStarted if the upstream has
	// begun to drain, and BackoffStarted if it has asked for a backoff while there was none.
	LimitChanged, DrainStarted, BackoffStarted bool
	// SpareSlots is set if the upstream has free slots, by its own report or else by the entries'
	// counts. A refusal by such an upstream is no sign of load.
	SpareSlots bool
	// Queued is set if requests wait for a slot, by the upstream's own report.
	Queued bool
}

// availability is whether an incarnation of an upstream accepts requests, by its own announcements.
type availability struct {
	// drainingSince is when this entry first learnt that the upstream drains; zero if it does not.
	drainingSince time.Time
	// backoffUntil is when this entry may send requests again.
	backoffUntil time.Time
	// recoveringUntil is the time until which the upstream gets one request at a time, unless it serves
	// one sent after the backoff; see maxRecovery.
	recoveringUntil time.Time
}

// retainedAvailability is that of an upstream that has left the service.
type retainedAvailability struct {
	availability
	removedAt time.Time
}

// AnnouncementCounts counts announcements of upstreams, and the requests sent in spite of them.
type AnnouncementCounts struct {
	// Drains counts the upstreams that have begun to drain, Backoffs the answers that asked for a
	// backoff.
	Drains   int64 `json:"drains"`
	Backoffs int64 `json:"backoffs"`
	// SentDraining and SentBackingOff count the requests that were sent to a draining upstream and
	// to one that had asked for a backoff.
	SentDraining   int64 `json:"sent_draining"`
	SentBackingOff int64 `json:"sent_backing_off"`
}

// Observe applies what the answer to a Choice says about its upstream. It is called once the
// header of the answer has been read, and before Done.
func (b *Balancer) Observe(now time.Time, c Choice, a Announcement) Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := c.state
	if u.restarted {
		return Observation{}
	}
	var o Observation
	if a.Load >= 0 {
		u.otherLoad = float64(max(0, a.Load-u.inFlight))
		u.reportedAt = now
	}
	u.recordSlowdown(now, a.Slowdown)
	o.LimitChanged = b.observeLimit(now, c, a.Limit)
	o.DrainStarted = a.Draining && b.recordDrain(u, now)
	o.BackoffStarted = a.Backoff > 0 && b.recordBackoff(u, now, a.Backoff)
	o.Queued = a.Waiting > 0
	o.SpareSlots = b.spareSlots(u, now, c, a)
	return o
}

// recordDrain records that an upstream drains, and reports whether this is new.
func (b *Balancer) recordDrain(u *upstreamState, now time.Time) bool {
	if b.announcedDrain(u, now) {
		return false
	}
	u.announced.drainingSince = now
	b.weightsStale = true
	b.announcements.Drains++
	return true
}

// announcedDrain reports whether an upstream drains by its own announcement. That holds for the rest
// of its incarnation.
func (b *Balancer) announcedDrain(u *upstreamState, now time.Time) bool {
	since := u.announced.drainingSince
	return !since.IsZero() && (b.identifiesIncarnation(u) || now.Sub(since) < sharedIDDrainTTL)
}

// identifiesIncarnation reports whether the ID and start time of an upstream never name a later
// incarnation. In services with routes every start has an ID of its own.
func (b *Balancer) identifiesIncarnation(u *upstreamState) bool { return b.routed || u.StartedAt != 0 }

// inDrainGrace reports whether a draining upstream may get requests that no other one can take.
func (b *Balancer) inDrainGrace(u *upstreamState, now time.Time) bool {
	return b.announcedDrain(u, now) && now.Sub(u.announced.drainingSince) < drainGrace && !b.draining(&u.Upstream, now)
}

// retain keeps the announcements of an upstream that leaves the service.
func (b *Balancer) retain(u *upstreamState, now time.Time) {
	if !u.announced.drainingSince.IsZero() || u.backingOff(now) {
		b.retained[u.incarnationKey] = retainedAvailability{u.announced, now}
	}
}

// restore returns the announcements of an incarnation that had left the service.
func (b *Balancer) restore(incarnationKey uint32) availability {
	a := b.retained[incarnationKey].availability
	delete(b.retained, incarnationKey)
	return a
}

// expireRetained drops the announcements of upstreams that have left long ago.
func (b *Balancer) expireRetained(now time.Time) {
	maps.DeleteFunc(b.retained, func(_ uint32, r retainedAvailability) bool { return now.Sub(r.removedAt) >= retention })
}

// recordBackoff records that an upstream wants no requests for a time, and reports whether there was
// no backoff before. An answer never shortens a backoff that another one has asked for.
func (b *Balancer) recordBackoff(u *upstreamState, now time.Time, backoff time.Duration) bool {
	b.announcements.Backoffs++
	first := !u.backingOff(now)
	backoff = min(backoff, maxBackoff)
	if until := now.Add(backoff + b.backoffSpread(u, backoff)); until.After(u.announced.backoffUntil) {
		u.announced.backoffUntil = until
	}
	b.recordTurnsAway(u, u.announced.backoffUntil)
	return first
}

// recordTurnsAway records that an upstream turns requests away until a time.
func (b *Balancer) recordTurnsAway(u *upstreamState, until time.Time) {
	if by := until.Add(maxRecovery); by.After(u.announced.recoveringUntil) {
		u.announced.recoveringUntil = by
	}
	if until.After(b.turningAwayUntil) {
		b.turningAwayUntil = until
	}
}

// backoffSpread returns by how much this entry prolongs a backoff of an upstream.
func (b *Balancer) backoffSpread(u *upstreamState, backoff time.Duration) time.Duration {
	longest := min(backoffSpreadShare*float64(backoff), float64(maxBackoffSpread))
	return time.Duration(uniform(u.idHash^xxhash.Sum64String(b.self)) * longest)
}

// backingOff reports whether the upstream has asked this entry to send nothing now.
func (u *upstreamState) backingOff(now time.Time) bool { return now.Before(u.announced.backoffUntil) }

// awaitsRecovery reports whether a request in flight is to show first whether the upstream accepts
// requests after a backoff.
func (u *upstreamState) awaitsRecovery(now time.Time) bool {
	return u.recovering(now) && u.inFlight > 0
}

// recovering reports whether the upstream has turned requests away and not served one since.
func (u *upstreamState) recovering(now time.Time) bool {
	return now.Before(u.announced.recoveringUntil)
}

// recordServed ends the recovery from a backoff if the upstream has served a request sent after it.
func (u *upstreamState) recordServed(sentAt time.Time) {
	if !sentAt.Before(u.announced.backoffUntil) {
		u.announced.recoveringUntil = time.Time{}
	}
}

// ownBackoffs returns 1 if this entry backs off from the upstream, else 0.
func (u *upstreamState) ownBackoffs(now time.Time) int {
	if u.backingOff(now) {
		return 1
	}
	return 0
}

// sharesDrain reports whether other entries are to be told that an upstream drains: they are not if
// its own entry says so.
func (b *Balancer) sharesDrain(u *upstreamState, now time.Time) bool {
	return b.announcedDrain(u, now) && b.identifiesIncarnation(u) && !u.Leaving
}

// applyPeerAnnouncements applies what a peer reports about the announcements of an upstream.
func (b *Balancer) applyPeerAnnouncements(u *upstreamState, now time.Time, peer string, l Load) {
	if l.Draining && b.identifiesIncarnation(u) {
		b.recordDrain(u, now)
	}
	u.peerBackoffs.set(peer, l.BackingOff)
	if b.turnsAway(u, now) {
		b.recordTurnsAway(u, now.Add(peerReportTTL))
	}
}

// turnsAway reports whether an upstream turns most requests of all entries away: more of them back off
// than have requests in flight there. Upstreams that turn away single requests do not count.
func (b *Balancer) turnsAway(u *upstreamState, now time.Time) bool {
	n := u.peerBackoffs.total + u.ownBackoffs(now)
	return n >= minTurnedAway && float64(n) > b.outstanding(u, now)
}

// Accepts reports whether a request may still be sent to the upstream of a Choice, by what the upstream
// and the configuration have said since.
func (b *Balancer) Accepts(now time.Time, c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.state.backingOff(now) && !b.drainedForGood(c.state, now)
}

// BackingOff reports whether the upstream with an ID has asked this entry to send nothing now.
func (b *Balancer) BackingOff(now time.Time, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.byID[id]
	return u != nil && u.backingOff(now)
}

// BackoffError reports that every upstream that could take the request has asked this entry to send
// nothing.
type BackoffError struct {
	// Upstream is the ID of the upstream whose backoff ends first, in RetryAfter.
	Upstream   string
	RetryAfter time.Duration
}

// Error implements error.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("balance: all upstreams back off, the next in %v: %s", e.RetryAfter.Round(time.Millisecond), e.Upstream)
}

// Unwrap returns ErrNoSlot; a BackoffError is a special case of it.
func (e *BackoffError) Unwrap() error { return ErrNoSlot }

// noUpstreamError returns the error for a request that no upstream may get: a BackoffError if some
// of those that usable accepts back off, else ErrNoUpstream.
func (b *Balancer) noUpstreamError(now time.Time, usable func(*upstreamState) bool) error {
	if u := b.firstBackoff(now, usable); u != nil {
		return &BackoffError{Upstream: u.ID, RetryAfter: u.announced.backoffUntil.Sub(now)}
	}
	return ErrNoUpstream
}

// firstBackoff returns the upstream whose backoff ends first among those that usable accepts and that
// do not drain; nil if none backs off.
func (b *Balancer) firstBackoff(now time.Time, usable func(*upstreamState) bool) *upstreamState {
	var first *upstreamState
	for _, u := range b.upstreams {
		if !u.backingOff(now) || b.isDraining(u, now) || !usable(u) {
			continue
		}
		if first == nil || u.announced.backoffUntil.Before(first.announced.backoffUntil) {
			first = u
		}
	}
	return first
}

// UntilAccepted returns the time until the first upstream in the given regions accepts requests; 0 if
// one does now or none will. allows reports whether a region may serve the request; nil allows all.
func (b *Balancer) UntilAccepted(now time.Time, allows func(region string) bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := func(u *upstreamState) bool { return allows == nil || allows(u.Region) }
	acceptsNow := func(u *upstreamState) bool { return allowed(u) && !u.backingOff(now) && !b.isDraining(u, now) }
	if slices.ContainsFunc(b.upstreams, acceptsNow) {
		return 0
	}
	if u := b.firstBackoff(now, allowed); u != nil {
		return u.announced.backoffUntil.Sub(now)
	}
	return 0
}

// countSend counts a request that is sent in spite of an announcement.
func (b *Balancer) countSend(u *upstreamState, now time.Time) {
	if b.announcedDrain(u, now) {
		b.announcements.SentDraining++
	}
	if u.backingOff(now) {
		b.announcements.SentBackingOff++
	}
}

// spareSlots reports whether an upstream has free slots, by the answer to a Choice or else by the
// entries' counts. The result is false for a Choice of Pick.
func (b *Balancer) spareSlots(u *upstreamState, now time.Time, c Choice, a Announcement) bool {
	if c.class == "" {
		return false
	}
	if a.Load >= 0 {
		return a.Waiting <= 0 && a.Load < u.Slots
	}
	return b.outstanding(u, now) < idleShare*float64(u.Slots)
}

// AnnouncementCounts returns the counts of announcements.
func (b *Balancer) AnnouncementCounts() AnnouncementCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announcements
}
