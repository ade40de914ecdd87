package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// IncarnationKey returns the hash that identifies an incarnation of an upstream in reports between
// entries. Reports about an earlier incarnation are thereby not applied to the current one.
func IncarnationKey(u *model.Upstream) uint32 {
	id := xxhash.Sum64String(u.ID)
	if u.StartedAt == 0 {
		return uint32(id)
	}
	return uint32(mix(id ^ uint64(u.StartedAt)))
}

// EntryFilter selects the entries whose requests and outcomes are counted.
type EntryFilter struct {
	// Own is set to include this entry. OmitOwnOutcomes leaves out its outcomes.
	Own             bool
	OmitOwnOutcomes bool
	// Peers reports whether a peer's reports are included; nil includes none.
	Peers func(peer string) bool
}

// Load is the load of an upstream by the selected entries.
type Load struct {
	// Requests is the number of requests in flight.
	Requests int
	Outcomes
	// BackingOff is the number of entries that the upstream has asked to send nothing now, and
	// Draining is set if it has announced that it drains. Draining does not depend on the selection.
	BackingOff int
	Draining   bool
}

// none reports whether there is nothing to report about the upstream.
func (l *Load) none() bool {
	return l.Requests == 0 && l.Failed == 0 && l.BackingOff == 0 && !l.Draining
}

// VisitLoads calls visit with the load of each upstream at which the selected entries have requests
// in flight, had failures or back off, and of each that drains by its own announcement. The upstream
// is identified by its IncarnationKey.
func (b *Balancer) VisitLoads(now time.Time, filter EntryFilter, visit func(upstream uint32, l Load)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		l := Load{
			Requests: u.peerRequests.sum(filter, u.inFlight), Outcomes: u.filteredOutcomes(filter, now),
			BackingOff: u.peerBackoffs.sum(filter, u.ownBackoffs(now)), Draining: b.sharesDrain(u, now),
		}
		if !l.none() {
			visit(u.incarnationKey, l)
		}
	}
}

// PeerLoad is a peer's report of its load at the upstreams whose IncarnationKey lies from First to
// Last. The peer has no load at upstreams of this range that are missing from Loads.
type PeerLoad struct {
	Peer        string
	First, Last uint32
	Loads       map[uint32]Load
}

// ApplyPeerLoad replaces what a peer has reported earlier for the same range of upstreams, and
// drops the reports of peers that have sent none for peerReportTTL.
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
		u.peerRequests.set(p.Peer, l.Requests)
		u.setPeerOutcomes(now, p.Peer, l.Outcomes)
		b.applyPeerAnnouncements(u, now, p.Peer, l)
	}
	b.expirePeers(now)
}

// expirePeers drops the reports of peers that have sent none for peerReportTTL.
func (b *Balancer) expirePeers(now time.Time) {
	for peer, at := range b.lastPeerReport {
		if now.Sub(at) < peerReportTTL {
			continue
		}
		delete(b.lastPeerReport, peer)
		for _, u := range b.upstreams {
			u.peerRequests.set(peer, 0)
			delete(u.peerOutcomes, peer)
			u.peerBackoffs.set(peer, 0)
		}
	}
}

// peerCounts holds a number that each peer reported, and their sum. The zero value is empty.
type peerCounts struct {
	byPeer map[string]int
	total  int
}

// set sets the number of a peer.
func (c *peerCounts) set(peer string, n int) {
	was := c.byPeer[peer]
	if n == was {
		return
	}
	if c.byPeer == nil {
		c.byPeer = make(map[string]int)
	}
	c.total += n - was
	if n == 0 {
		delete(c.byPeer, peer)
		return
	}
	c.byPeer[peer] = n
}

// sum returns the sum of the numbers of the selected peers, and of own if the filter includes this
// entry.
func (c *peerCounts) sum(filter EntryFilter, own int) int {
	n := 0
	if filter.Own {
		n = own
	}
	if filter.Peers == nil {
		return n
	}
	for peer, reported := range c.byPeer {
		if filter.Peers(peer) {
			n += reported
		}
	}
	return n
}
