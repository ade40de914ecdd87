package poison

import (
	"slices"
	"time"
)

// peerClaim is the last Claim from another entry, with its ages converted to times.
type peerClaim struct {
	crashes              map[uint32]time.Time
	heldSince, heldUntil time.Time
	// responded is when an upstream last responded to the request there, zero if none did.
	responded time.Time
	// received is when the Claim was received.
	received time.Time
	claim    Claim
}

// ApplyClaim stores a Claim from another entry and decides again whether the request is held. It
// ignores this entry's own claims, and those of further entries once maxSources are stored.
func (t *Tracker) ApplyClaim(now time.Time, c Claim) {
	if c.Source == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[c.Key]
	if r == nil && len(c.Crashes) == 0 && c.HoldRemaining == 0 {
		return
	}
	r = t.record(now, c.Head, c.Key)
	previous, known := r.peerClaims[c.Source]
	if !known && len(r.peerClaims) >= maxSources {
		return
	}
	next := t.peerClaimOf(now, c)
	r.peerClaims[c.Source] = next
	if next.respondedSince(&previous) {
		t.clearBefore(now, r, next.responded)
	}
	if next.differs(&previous) {
		t.reevaluate(now, r)
	}
	t.adoptHold(now, r)
}

// differs reports whether a Claim differs from the previous one of the same entry in more than
// its ages.
func (p *peerClaim) differs(previous *peerClaim) bool {
	if len(p.crashes) != len(previous.crashes) || p.heldUntil.IsZero() != previous.heldUntil.IsZero() {
		return true
	}
	for upstream := range p.crashes {
		if _, ok := previous.crashes[upstream]; !ok {
			return true
		}
	}
	return p.respondedSince(previous)
}

// respondedSince reports whether there is a response that is not in the previous Claim. The
// same response seems more recent if its Claim was delayed, by up to delaySlack.
func (p *peerClaim) respondedSince(previous *peerClaim) bool {
	return p.responded.Sub(previous.responded) > delaySlack
}

// peerClaimOf converts the ages of a Claim to times. It leaves out crashes up to
// responseTrustTime after a response that this entry has seen, holds reported within that time,
// and holds that end within delaySlack.
func (t *Tracker) peerClaimOf(now time.Time, c Claim) peerClaim {
	p := peerClaim{crashes: make(map[uint32]time.Time, len(c.Crashes)), received: now, claim: c}
	trustedUntil := t.responses.last(c.Key).Add(responseTrustTime)
	for _, crash := range c.Crashes {
		if at := now.Add(-crash.Age); at.After(trustedUntil) {
			p.crashes[crash.Upstream] = at
		}
	}
	if c.Responded {
		p.responded = now.Add(-c.ResponseAge)
	}
	if c.HoldRemaining > delaySlack && now.After(trustedUntil) {
		p.heldSince, p.heldUntil = now.Add(-c.HoldAge), now.Add(c.HoldRemaining)
	}
	return p
}

// adoptHold holds a request that a quorum of other entries hold, so that a node which starts or
// was partitioned learns of the hold. A hold that has ended here is not adopted again from
// entries where the same hold lasts longer: otherwise all entries would finally let the request
// through at the same time.
func (t *Tracker) adoptHold(now time.Time, r *record) {
	if now.Before(r.heldUntil) {
		return
	}
	var holding []peerClaim
	for _, p := range r.peerClaims {
		if p.heldUntil.After(now) && p.heldSince.After(r.lastResponse) && p.heldSince.After(r.heldUntil) {
			holding = append(holding, p)
		}
	}
	if len(holding) < quorum {
		return
	}
	slices.SortFunc(holding, func(a, b peerClaim) int { return b.heldUntil.Compare(a.heldUntil) })
	last := holding[quorum-1]
	r.heldSince, r.heldUntil = last.heldSince, last.heldUntil.Add(t.holdJitter(r.key)-maxHoldJitter)
	r.holds = max(1, r.holds)
	t.attributeCrashes(now, r)
}
