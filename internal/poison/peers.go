package poison

import (
	"slices"
	"time"
)

// peerClaim is a Claim with its times.
type peerClaim struct {
	crashes              map[uint32]time.Time
	heldSince, heldUntil time.Time
	// answered is when an upstream answered the request there, zero if none did.
	answered time.Time
	at       time.Time
	claim    Claim
}

// HandleClaim takes in what another entry says.
func (t *Tracker) HandleClaim(now time.Time, w Claim) {
	if w.Source == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[w.Key]
	if r == nil && len(w.Crashes) == 0 && w.HoldRemaining == 0 {
		return
	}
	r = t.record(now, w.Head, w.Key)
	before, known := r.peers[w.Source]
	if !known && len(r.peers) >= maxSources {
		return
	}
	next := t.peerClaimOf(now, w)
	r.peers[w.Source] = next
	if next.answersSince(&before) {
		t.clear(now, r, next.answered)
	}
	if next.differs(&before) {
		t.review(now, r)
	}
	t.takeHold(now, r)
}

// differs reports whether an entry says something else than before, but for ages.
func (s *peerClaim) differs(before *peerClaim) bool {
	if len(s.crashes) != len(before.crashes) || s.heldUntil.IsZero() != before.heldUntil.IsZero() {
		return true
	}
	for upstream := range s.crashes {
		if _, ok := before.crashes[upstream]; !ok {
			return true
		}
	}
	return s.answersSince(before)
}

// answersSince reports whether there is an answer that was not told before. The same one
// seems later if its report took longer.
func (s *peerClaim) answersSince(before *peerClaim) bool {
	return s.answered.Sub(before.answered) > echoSlack
}

// peerClaimOf turns ages into times. Ends soon after an answer here do not count.
func (t *Tracker) peerClaimOf(now time.Time, w Claim) peerClaim {
	s := peerClaim{crashes: make(map[uint32]time.Time, len(w.Crashes)), at: now, claim: w}
	trustedUntil := t.answered.at(w.Key).Add(trustAnswerFor)
	for _, crash := range w.Crashes {
		if at := now.Add(-crash.Age); at.After(trustedUntil) {
			s.crashes[crash.Upstream] = at
		}
	}
	if w.Answered {
		s.answered = now.Add(-w.AnsweredAge)
	}
	if w.HoldRemaining > echoSlack && now.After(trustedUntil) {
		s.heldSince, s.heldUntil = now.Add(-w.HoldAge), now.Add(w.HoldRemaining)
	}
	return s
}

// takeHold holds a request that enough others hold, so that a node which starts, or was
// cut off, learns what holds. A hold that is over here is not taken over from those at
// which the same one lasts longer: all would let the request through at once in the end.
func (t *Tracker) takeHold(now time.Time, r *record) {
	if now.Before(r.heldUntil) {
		return
	}
	var holding []peerClaim
	for _, s := range r.peers {
		if s.heldUntil.After(now) && s.heldSince.After(r.answered) && s.heldSince.After(r.heldUntil) {
			holding = append(holding, s)
		}
	}
	if len(holding) < quorum {
		return
	}
	slices.SortFunc(holding, func(a, b peerClaim) int { return b.heldUntil.Compare(a.heldUntil) })
	last := holding[quorum-1]
	r.heldSince, r.heldUntil = last.heldSince, last.heldUntil.Add(t.spread(r.key)-holdSpread)
	r.holds = max(1, r.holds)
	t.explain(now, r)
}
