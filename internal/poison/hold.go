package poison

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file decides when a request is held, and for how long. The caller of each function
// holds the Tracker's lock.

// review looks at a record anew after something was added or withdrawn.
func (t *Tracker) review(now time.Time, r *record) {
	r.news(now)
	held := now.Before(r.heldUntil)
	if held {
		t.explain(now, r)
	}
	if held && t.triedAgain(now, r) || !held && t.overThreshold(now, r) {
		t.hold(now, r)
	}
}

// news has a change told.
func (r *record) news(now time.Time) {
	r.changed, r.fresh = now, freshRounds
}

// overThreshold reports whether enough upstreams ended under a request. One that was held
// before and ends another is held again at once.
func (t *Tracker) overThreshold(now time.Time, r *record) bool {
	crashes := t.crashes(now, r)
	if r.holds > 0 {
		return anyAfter(crashes, r.heldUntil)
	}
	if len(crashes) < heldAfter {
		return false
	}
	own := 0
	for upstream := range r.own {
		if _, ok := crashes[upstream]; ok {
			own++
		}
	}
	return own >= heldAfter || t.observers(r, crashes) >= quorum
}

// triedAgain reports whether a request that is held here ended an upstream of another
// entry, whose hold was over before.
func (t *Tracker) triedAgain(now time.Time, r *record) bool {
	return anyAfter(t.crashes(now, r), r.heldSince.Add(lengthOf(r.holds-1)/2))
}

func anyAfter(crashes map[uint32]time.Time, since time.Time) bool {
	for _, at := range crashes {
		if at.After(since) {
			return true
		}
	}
	return false
}

// crashes returns the upstreams that ended under a request and count: those that ended
// lately, after its last answer, and under no other request that is held for it.
func (t *Tracker) crashes(now time.Time, r *record) map[uint32]time.Time {
	out := make(map[uint32]time.Time)
	add := func(crashes map[uint32]time.Time) {
		for upstream, at := range crashes {
			by, explained := t.explained[upstream]
			if now.Sub(at) < crashFor && at.After(r.answered) && (!explained || by == r.key) {
				out[upstream] = at
			}
		}
	}
	add(r.own)
	for _, s := range r.peers {
		add(s.crashes)
	}
	return out
}

// observers returns how many entries saw one of the upstreams end.
func (t *Tracker) observers(r *record, crashes map[uint32]time.Time) int {
	n := 0
	saw := func(own map[uint32]time.Time) bool {
		for upstream := range own {
			if _, ok := crashes[upstream]; ok {
				return true
			}
		}
		return false
	}
	if saw(r.own) {
		n++
	}
	for _, s := range r.peers {
		if saw(s.crashes) {
			n++
		}
	}
	return n
}

// hold keeps a request from upstreams from now on.
func (t *Tracker) hold(now time.Time, r *record) {
	r.heldSince = now
	r.heldUntil = now.Add(lengthOf(r.holds) + t.spread(r.key))
	r.holds++
	t.explain(now, r)
}

// lengthOf returns how long a hold lasts at least after a number of earlier ones.
func lengthOf(earlier int) time.Duration {
	const doublings = 5
	return min(holdFor<<min(max(0, earlier), doublings), longestHold)
}

// spread returns the own part of holdSpread.
func (t *Tracker) spread(key Key) time.Duration {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], t.self)
	return time.Duration(mix(key, xxhash.Sum64(b[:])) % Key(holdSpread))
}

// explain records which upstreams a held request ended, so that their ends do not count
// against what else was under way there.
func (t *Tracker) explain(now time.Time, r *record) {
	for upstream := range t.crashes(now, r) {
		t.explained[upstream] = r.key
	}
}
