package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxClaimCrashes is the largest number of crashes in a Claim. With those of another entry
	// they are more than enough for a request to be held.
	maxClaimCrashes = 4
	// maxRelayedClaims is the largest number of other entries' Claims about one request that a
	// hub relays.
	maxRelayedClaims = quorum
	// changeRounds is the number of rounds in which a change is sent, so that peers receive it
	// although one or two datagrams are lost.
	changeRounds = 3
	// repeatInterval is the interval at which unchanged records are sent again, for nodes that
	// start or were partitioned. Single crashes that were repeated in each round would be most
	// of the bytes between regions while upstreams crash.
	repeatInterval = time.Second
)

// Claims returns at most n Claims to send in this round. A changed record is sent in
// changeRounds rounds, and then once in repeatInterval while other entries may need it. If
// relay is set, as at a hub, the Claims of other entries are included.
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
		r.roundsLeft = max(0, r.roundsLeft-1)
		r.lastSent = now
	}
	return out
}

// due returns the records to send, least recently sent first. Records that were sent at the
// same time are in order of creation, so that the record of a single caller is held before that
// of all callers everywhere.
func (t *Tracker) due(now time.Time) []*record {
	var out []*record
	for _, r := range t.records {
		if r.roundsLeft > 0 || now.Sub(r.lastSent) >= repeatInterval && t.repeated(now, r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		if c := a.lastSent.Compare(b.lastSent); c != 0 {
			return c
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	return out
}

// repeated reports whether an unchanged record is sent again, because its request is held or
// may soon be. A record with a single crash is not repeated; other entries receive it once a
// second crash is seen.
func (t *Tracker) repeated(now time.Time, r *record) bool {
	return now.Before(r.heldUntil) || len(t.crashes(now, r)) >= suspectThreshold
}

// claimsOf returns the Claims to send about one request.
func (t *Tracker) claimsOf(now time.Time, r *record, relay bool) []Claim {
	var out []Claim
	own := t.ownClaim(now, r)
	if r.claimed || len(own.Crashes) > 0 || own.HoldRemaining > 0 || own.Responded {
		r.claimed = true
		out = append(out, own)
	}
	if !relay {
		return out
	}
	claims := slices.SortedFunc(maps.Values(r.peerClaims), func(a, b peerClaim) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	for _, p := range claims[:min(len(claims), maxRelayedClaims)] {
		out = append(out, p.relayed(now))
	}
	return out
}

// ownClaim returns this entry's own Claim about a request.
func (t *Tracker) ownClaim(now time.Time, r *record) Claim {
	c := Claim{Key: r.key, Head: r.head, Source: t.self, Crashes: newestCrashes(now, r.ownCrashes)}
	if remaining := r.heldUntil.Sub(now); remaining > 0 {
		c.HoldRemaining, c.HoldAge = remaining, now.Sub(r.heldSince)
	}
	if !r.ownResponse.IsZero() {
		c.Responded, c.ResponseAge = true, now.Sub(r.ownResponse)
	}
	return c
}

// newestCrashes returns the newest of the crashes, at most maxClaimCrashes, with their ages.
func newestCrashes(now time.Time, crashes map[uint32]time.Time) []Crash {
	var out []Crash
	for upstream, at := range crashes {
		out = append(out, Crash{upstream, now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	return out[:min(len(out), maxClaimCrashes)]
}

// relayed returns the Claim with its ages as of now.
func (p *peerClaim) relayed(now time.Time) Claim {
	c := p.claim
	c.Crashes = newestCrashes(now, p.crashes)
	c.HoldRemaining, c.HoldAge = max(0, p.heldUntil.Sub(now)), now.Sub(p.heldSince)
	if c.Responded {
		c.ResponseAge += now.Sub(p.received)
	}
	return c
}
