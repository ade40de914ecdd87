package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// IncarnationKey names a life of an upstream in reports, so that what peers tell of an earlier
// one is not taken for news of it.
func IncarnationKey(u *model.Upstream) uint32 {
	id := xxhash.Sum64String(u.ID)
	if u.StartedAt == 0 {
		return uint32(id)
	}
	return uint32(mix(id ^ uint64(u.StartedAt)))
}

// EntryFilter says whose requests are asked for.
type EntryFilter struct {
	// Own is set for those of this entry.
	Own bool
	// Peers reports whether those that a peer told of are meant; nil means none.
	Peers func(peer string) bool
}

// Load is what is known of the use of an upstream.
type Load struct {
	// Requests are under way.
	Requests int
	Outcomes
}

// VisitLoads calls visit with what the entries that are asked for have at each upstream
// at which they have requests or had failures.
func (b *Balancer) VisitLoads(now time.Time, whose EntryFilter, visit func(upstream uint32, l Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		l := Load{Requests: u.filteredRequests(whose), Outcomes: u.filteredOutcomes(whose, now)}
		if l.Requests > 0 || l.Failed > 0 {
			visit(u.incarnationKey, l)
		}
	}
}

func (u *upstreamState) filteredRequests(whose EntryFilter) int {
	n := 0
	if whose.Own {
		n = u.inFlight
	}
	if whose.Peers == nil {
		return n
	}
	for peer, at := range u.peerRequests {
		if whose.Peers(peer) {
			n += at
		}
	}
	return n
}

// PeerLoad is what a peer told of upstreams whose hashes lie from First to Last; at
// one that is not named it has nothing.
type PeerLoad struct {
	Peer        string
	First, Last uint32
	Loads       map[uint32]Load
}

// ApplyPeerLoad takes in what a peer told.
func (b *Balancer) ApplyPeerLoad(now time.Time, p PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastPeerReport[p.Peer] = now
	for _, u := range b.upstreams {
		h := u.incarnationKey
		if h < p.First || h > p.Last {
			continue
		}
		l := p.Loads[h]
		if was := u.peerRequests[p.Peer]; was != l.Requests {
			u.setPeerRequests(p.Peer, l.Requests)
		}
		u.setPeerOutcomes(now, p.Peer, l.Outcomes)
	}
	b.expirePeers(now)
}

// forgetSilent drops what peers said that have been silent for too long.
func (b *Balancer) expirePeers(now time.Time) {
	for peer, at := range b.lastPeerReport {
		if now.Sub(at) < peerReportTTL {
			continue
		}
		delete(b.lastPeerReport, peer)
		for _, u := range b.upstreams {
			u.setPeerRequests(peer, 0)
			delete(u.peerOutcomes, peer)
		}
	}
}

// setPeer changes how many requests a peer has at an upstream.
func (u *upstreamState) setPeerRequests(peer string, n int) {
	if u.peerRequests == nil {
		u.peerRequests = make(map[string]int)
	}
	u.peerTotal += n - u.peerRequests[peer]
	if n == 0 {
		delete(u.peerRequests, peer)
		return
	}
	u.peerRequests[peer] = n
}
