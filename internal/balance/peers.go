package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// HashID returns the hash by which entries name an upstream to each other.
func HashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Counted says whose requests are asked for.
type Counted struct {
	// Own is set for those of this entry.
	Own bool
	// Peers reports whether those that a peer told of are meant; nil means none.
	Peers func(peer string) bool
}

// InFlightAt calls visit with the requests at each upstream that has any of those
// that are asked for.
func (g *Group) InFlightAt(whose Counted, visit func(upstream uint32, requests int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.all {
		if n := m.count(whose); n > 0 {
			visit(uint32(m.hash), n)
		}
	}
}

func (m *member) count(whose Counted) int {
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

// Heard takes in how many requests a peer has at the upstreams whose hashes lie from
// first to last; at one that is not named it has none.
func (g *Group) Heard(now time.Time, peer string, first, last uint32, at map[uint32]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[peer] = now
	for _, m := range g.all {
		if h := uint32(m.hash); h < first || h > last {
			continue
		}
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
