package poison

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides when a request is held, and for how long. The caller of each function
// holds t.mu.

// reevaluate decides again whether a request is held, after its record has changed.
func (t *Tracker) reevaluate(now time.Time, r *record) {
	r.markChanged(now)
	held := now.Before(r.heldUntil)
	if held {
		t.attributeCrashes(now, r)
	}
	if held && t.retriedElsewhere(now, r) || !held && t.overThreshold(now, r) {
		t.hold(now, r)
	}
}

// markChanged schedules a changed record to be sent to the other entries.
func (r *record) markChanged(now time.Time) {
	r.changed, r.roundsLeft = now, changeRounds
}

// overThreshold reports whether enough upstreams crashed under a request for it to be held. For
// a request that was held before, one crash after the end of the hold is enough.
func (t *Tracker) overThreshold(now time.Time, r *record) bool {
	crashes := t.crashes(now, r)
	if r.holds > 0 {
		return anyAfter(crashes, r.heldUntil)
	}
	if len(crashes) < holdThreshold {
		return false
	}
	own := 0
	for upstream := range r.ownCrashes {
		if _, ok := crashes[upstream]; ok {
			own++
		}
	}
	return own >= holdThreshold || t.observers(r, crashes) >= quorum
}

// retriedElsewhere reports whether a request that is held here crashed an upstream of another
// entry, where the hold had already ended.
func (t *Tracker) retriedElsewhere(now time.Time, r *record) bool {
	return anyAfter(t.crashes(now, r), r.heldSince.Add(minHoldTime(r.holds-1)/2))
}

// anyAfter reports whether one of the crashes is after a time.
func anyAfter(crashes map[uint32]time.Time, since time.Time) bool {
	for _, at := range crashes {
		if at.After(since) {
			return true
		}
	}
	return false
}

// crashes returns the upstreams that crashed under a request, at any entry, with the times. It
// leaves out crashes that are older than crashLifetime, that precede the last response to the
// request, or that are attributed to another held request.
func (t *Tracker) crashes(now time.Time, r *record) map[uint32]time.Time {
	out := make(map[uint32]time.Time)
	add := func(crashes map[uint32]time.Time) {
		for upstream, at := range crashes {
			culprit, attributed := t.attributed[upstream]
			if now.Sub(at) < crashLifetime && at.After(r.lastResponse) && (!attributed || culprit == r.key) {
				out[upstream] = at
			}
		}
	}
	add(r.ownCrashes)
	for _, p := range r.peerClaims {
		add(p.crashes)
	}
	return out
}

// observers returns the number of entries that observed at least one of the crashes.
func (t *Tracker) observers(r *record, crashes map[uint32]time.Time) int {
	n := 0
	observed := func(seen map[uint32]time.Time) bool {
		for upstream := range seen {
			if _, ok := crashes[upstream]; ok {
				return true
			}
		}
		return false
	}
	if observed(r.ownCrashes) {
		n++
	}
	for _, p := range r.peerClaims {
		if observed(p.crashes) {
			n++
		}
	}
	return n
}

// hold starts a hold of a request.
func (t *Tracker) hold(now time.Time, r *record) {
	r.heldSince = now
	r.heldUntil = now.Add(minHoldTime(r.holds) + t.holdJitter(r.key))
	r.holds++
	t.attributeCrashes(now, r)
}

// minHoldTime returns the duration of a hold, without jitter, after a number of earlier holds.
func minHoldTime(earlier int) time.Duration {
	const maxDoublings = 5
	return min(firstHoldTime<<min(max(0, earlier), maxDoublings), maxHoldTime)
}

// holdJitter returns the time that this entry adds to each hold of a request, less than
// maxHoldJitter. It is derived from the entry and the request.
func (t *Tracker) holdJitter(key Key) time.Duration {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], t.self)
	return time.Duration(mix(key, xxhash.Sum64(b[:])) % Key(maxHoldJitter))
}

// attributeCrashes attributes the crashes under a held request to it, so that they do not count
// against other requests that were in flight at the same upstreams.
func (t *Tracker) attributeCrashes(now time.Time, r *record) {
	for upstream := range t.crashes(now, r) {
		t.attributed[upstream] = r.key
	}
}
