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
	if u.Born == 0 {
		return uint32(id)
	}
	return uint32(mix(id ^ uint64(u.Born)))
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
func (g *Balancer) VisitLoads(now time.Time, whose EntryFilter, visit func(upstream uint32, l Load)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.all {
		l := Load{Requests: m.count(whose), Outcomes: m.countedOutcomes(whose, now)}
		if l.Requests > 0 || l.Failed > 0 {
			visit(m.key, l)
		}
	}
}

func (m *member) count(whose EntryFilter) int {
	n := 0
	if whose.Own {
		n = m.inFlight
	}
	if whose.Peers == nil {
		return n
	}
	for peer, at := range m.byPeer {
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
func (g *Balancer) ApplyPeerLoad(now time.Time, p PeerLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[p.Peer] = now
	for _, m := range g.all {
		h := m.key
		if h < p.First || h > p.Last {
			continue
		}
		l := p.Loads[h]
		if was := m.byPeer[p.Peer]; was != l.Requests {
			m.setPeer(p.Peer, l.Requests)
		}
		m.hearOutcomes(now, p.Peer, l.Outcomes)
	}
	g.forgetSilent(now)
}

// forgetSilent drops what peers said that have been silent for too long.
func (g *Balancer) forgetSilent(now time.Time) {
	for peer, at := range g.heard {
		if now.Sub(at) < peerFresh {
			continue
		}
		delete(g.heard, peer)
		for _, m := range g.all {
			m.setPeer(peer, 0)
			delete(m.peerOutcomes, peer)
		}
	}
}

// setPeer changes how many requests a peer has at an upstream.
func (m *member) setPeer(peer string, n int) {
	if m.byPeer == nil {
		m.byPeer = make(map[string]int)
	}
	m.atPeers += n - m.byPeer[peer]
	if n == 0 {
		delete(m.byPeer, peer)
		return
	}
	m.byPeer[peer] = n
}
