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
)

// Words returns what to tell of the requests whose turn it is, at most n Words. A hub
// also passes on what others said.
func (t *Tracker) Words(now time.Time, n int, relay bool) []Word {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil
	}
	t.told++
	var out []Word
	for _, r := range t.byTurn() {
		words := t.wordsOf(now, r, relay)
		if len(out)+len(words) > n {
			break
		}
		if len(words) > 0 {
			r.toldAt = t.told
			out = append(out, words...)
		}
	}
	return out
}

// byTurn returns the records by when they were told last, those that changed last first
// among equals.
func (t *Tracker) byTurn() []*record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b *record) int {
		if a.toldAt != b.toldAt {
			return cmp.Compare(a.toldAt, b.toldAt)
		}
		return b.changed.Compare(a.changed)
	})
}

func (t *Tracker) wordsOf(now time.Time, r *record, relay bool) []Word {
	var out []Word
	own := t.ownWord(now, r)
	if len(own.Strikes) > 0 || own.HeldLeft > 0 || now.Sub(r.changed) < keepFor {
		out = append(out, own)
	}
	if !relay {
		return out
	}
	said := slices.SortedFunc(maps.Values(r.peers), func(a, b said) int { return cmp.Compare(len(b.strikes), len(a.strikes)) })
	for _, s := range said[:min(len(said), maxRelayed)] {
		if w, ok := s.later(now, r.answered); ok {
			out = append(out, w)
		}
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

// later returns what was said as it is to be told now; false if nothing is left of it.
func (s *said) later(now, answered time.Time) (Word, bool) {
	w := s.word
	w.Strikes = strikesOf(now, s.strikes)
	w.HeldLeft, w.HeldAge = max(0, s.heldUntil.Sub(now)), now.Sub(s.heldSince)
	if w.Answered {
		w.AnsweredAge += now.Sub(s.at)
	}
	if answered.After(s.at) {
		return w, false
	}
	return w, len(w.Strikes) > 0 || w.HeldLeft > 0 || w.Answered && w.AnsweredAge < keepFor
}
