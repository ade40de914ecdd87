package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxStrikes is how many strikes one Word tells. With those of another entry they are
	// more than enough for a request to be held.
	maxStrikes = 4
	// maxRelayed is how many Words of others about one request a hub passes on.
	maxRelayed = voters
	// freshRounds is in how many rounds a change is told, so that peers hear of it though
	// a datagram or two are lost.
	freshRounds = 3
	// repeatEvery is how often what holds is repeated, for nodes that start or were cut
	// off. Repeating each single end five times a second made up two thirds of all bytes
	// between regions while upstreams crashed: 23 MB instead of 7 MB in half a minute
	// at 12 nodes.
	repeatEvery = time.Second
)

// Words returns what to tell of the requests whose turn it is, at most n Words. What
// changed is told in a few rounds, and repeated seldom while there is something to learn
// from it. A hub also passes on what others said.
func (t *Tracker) Words(now time.Time, n int, relay bool) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Word
	for _, r := range t.due(now) {
		words := t.wordsOf(now, r, relay)
		if len(out)+len(words) > n {
			break
		}
		out = append(out, words...)
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
	return now.Before(r.heldUntil) || len(t.strikes(now, r)) >= suspectAfter
}

func (t *Tracker) wordsOf(now time.Time, r *record, relay bool) []Word {
	var out []Word
	own := t.ownWord(now, r)
	if r.spoken || len(own.Strikes) > 0 || own.HeldLeft > 0 || own.Answered {
		r.spoken = true
		out = append(out, own)
	}
	if !relay {
		return out
	}
	said := slices.SortedFunc(maps.Values(r.peers), func(a, b said) int { return cmp.Compare(len(b.strikes), len(a.strikes)) })
	for _, s := range said[:min(len(said), maxRelayed)] {
		out = append(out, s.later(now))
	}
	return out
}

func (t *Tracker) ownWord(now time.Time, r *record) Word {
	w := Word{Key: r.key, Head: r.head, Voter: t.self, Strikes: strikesOf(now, r.own)}
	if left := r.heldUntil.Sub(now); left > 0 {
		w.HeldLeft, w.HeldAge = left, now.Sub(r.heldSince)
	}
	if !r.ownAnswer.IsZero() {
		w.Answered, w.AnsweredAge = true, now.Sub(r.ownAnswer)
	}
	return w
}

// strikesOf returns the newest strikes with their ages.
func strikesOf(now time.Time, at map[uint32]time.Time) []Strike {
	var out []Strike
	for upstream, when := range at {
		out = append(out, Strike{upstream, now.Sub(when)})
	}
	slices.SortFunc(out, func(a, b Strike) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxStrikes)]
}

// later returns what was said as it is to be told now.
func (s *said) later(now time.Time) Word {
	w := s.word
	w.Strikes = strikesOf(now, s.strikes)
	w.HeldLeft, w.HeldAge = max(0, s.heldUntil.Sub(now)), now.Sub(s.heldSince)
	if w.Answered {
		w.AnsweredAge += now.Sub(s.at)
	}
	return w
}
