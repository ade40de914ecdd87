package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashes is how many crashes one Claim tells. With those of another entry they are
	// more than enough for a request to be held.
	maxCrashes = 4
	// maxRelayed is how many Claims of others about one request a hub passes on.
	maxRelayed = quorum
	// freshRounds is in how many rounds a change is told, so that peers hear of it though
	// a datagram or two are lost.
	freshRounds = 3
	// repeatEvery is how often what holds is repeated, for nodes that start or were cut
	// off. Repeated in each round, single ends would be most of the bytes between regions
	// while upstreams crash.
	repeatEvery = time.Second
)

// Claims returns what to tell of the requests whose turn it is, at most n Claims. What
// changed is told in a few rounds, and repeated seldom while there is something to learn
// from it. A hub also passes on what others said.
func (t *Tracker) Claims(now time.Time, n int, relay bool) []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Claim
	for _, r := range t.due(now) {
		claims := t.claimsOf(now, r, relay)
		if len(out)+len(claims) > n {
			break
		}
		out = append(out, claims...)
		r.fresh = max(0, r.fresh-1)
		r.toldAt = now
	}
	return out
}

// due returns the records to tell of, those that were told longest ago first, and among
// equals those that were made first: a caller's is to be held before that of anybody
// everywhere.
func (t *Tracker) due(now time.Time) []*record {
	var out []*record
	for _, r := range t.records {
		if r.fresh > 0 || now.Sub(r.toldAt) >= repeatEvery && t.telling(now, r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		if c := a.toldAt.Compare(b.toldAt); c != 0 {
			return c
		}
		return cmp.Compare(a.order, b.order)
	})
	return out
}

// telling reports whether those that have not heard of a request are to hear of it: it is
// held, or would be soon. Of one with a single end they hear once another has seen one.
func (t *Tracker) telling(now time.Time, r *record) bool {
	return now.Before(r.heldUntil) || len(t.crashes(now, r)) >= suspectAfter
}

func (t *Tracker) claimsOf(now time.Time, r *record, relay bool) []Claim {
	var out []Claim
	own := t.ownClaim(now, r)
	if r.claimed || len(own.Crashes) > 0 || own.HoldRemaining > 0 || own.Answered {
		r.claimed = true
		out = append(out, own)
	}
	if !relay {
		return out
	}
	claims := slices.SortedFunc(maps.Values(r.peers), func(a, b peerClaim) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	for _, s := range claims[:min(len(claims), maxRelayed)] {
		out = append(out, s.later(now))
	}
	return out
}

func (t *Tracker) ownClaim(now time.Time, r *record) Claim {
	w := Claim{Key: r.key, Head: r.head, Source: t.self, Crashes: crashesOf(now, r.own)}
	if left := r.heldUntil.Sub(now); left > 0 {
		w.HoldRemaining, w.HoldAge = left, now.Sub(r.heldSince)
	}
	if !r.ownAnswer.IsZero() {
		w.Answered, w.AnsweredAge = true, now.Sub(r.ownAnswer)
	}
	return w
}

// crashesOf returns the newest crashes with their ages.
func crashesOf(now time.Time, at map[uint32]time.Time) []Crash {
	var out []Crash
	for upstream, when := range at {
		out = append(out, Crash{upstream, now.Sub(when)})
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxCrashes)]
}

// later returns what was said as it is to be told now.
func (s *peerClaim) later(now time.Time) Claim {
	w := s.claim
	w.Crashes = crashesOf(now, s.crashes)
	w.HoldRemaining, w.HoldAge = max(0, s.heldUntil.Sub(now)), now.Sub(s.heldSince)
	if w.Answered {
		w.AnsweredAge += now.Sub(s.at)
	}
	return w
}
