package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HashID returns the hash by which entries name an upstream to each other.
func HashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// InFlightAt calls visit with the own requests at each upstream that has any.
func (g *Group) InFlightAt(visit func(upstream uint32, requests int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.all {
		if m.inFlight > 0 {
			visit(uint32(m.hash), m.inFlight)
		}
	}
}

// Heard takes in how many requests a peer has at each upstream; at one that is
// not named it has none.
func (g *Group) Heard(now time.Time, peer string, at map[uint32]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[peer] = now
	for _, m := range g.all {
		n := at[uint32(m.hash)]
		if was := m.byPeer[peer]; was != n {
			m.setPeer(peer, n)
		}
	}
	g.forgetSilent(now)
}

// forgetSilent drops what peers said that have been silent for too long.
func (g *Group) forgetSilent(now time.Time) {
	for peer, at := range g.heard {
		if now.Sub(at) < peerFresh {
			continue
		}
		delete(g.heard, peer)
		for _, m := range g.all {
			m.setPeer(peer, 0)
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
