package node

import (
	"net/netip"
	"sync"

	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/relay"
)

// fleetCache caches the fleet built from the last list of members: the list changes
// seldom, and the fleet is needed for each report. It is safe for concurrent use.
type fleetCache struct {
	mu      sync.Mutex
	members *[]model.Member
	fleet   inflight.Fleet
}

// get returns the fleet of the members. It is built again only if the pointer members
// differs from that of the last call.
func (c *fleetCache) get(self model.Member, members *[]model.Member) inflight.Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members != members {
		c.members, c.fleet = members, buildFleet(self, *members)
	}
	return c.fleet
}

// buildFleet returns the fleet of the members that have a valid peer address. The first
// candidate for hub of a failure domain is the member that also reads the key-value store
// for the domain; a later one becomes the hub only while those before it are silent.
func buildFleet(self model.Member, members []model.Member) inflight.Fleet {
	var f inflight.Fleet
	advertised := make(map[string]bool)
	for _, m := range model.Advertised(members) {
		advertised[m.ID] = true
	}
	f.Advertised = advertised[self.ID]
	byDomain := map[string][]model.Member{self.Domain: {self}}
	for _, m := range members {
		if m.ID == self.ID {
			continue
		}
		if p, ok := newPeer(self, m); ok {
			p.Advertised = advertised[m.ID]
			f.Peers = append(f.Peers, p)
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for domain, list := range byDomain {
		ranked := relay.RankMembers(domain, list)
		if domain != self.Domain {
			p, _ := newPeer(self, ranked[0])
			f.RemoteHubs = append(f.RemoteHubs, p)
			continue
		}
		for _, m := range ranked {
			p, _ := newPeer(self, m)
			f.HubCandidates = append(f.HubCandidates, p)
		}
	}
	return f
}

// newPeer returns a member as a peer, and whether its peer address is valid.
func newPeer(self, m model.Member) (inflight.Peer, bool) {
	addr, err := netip.ParseAddrPort(m.Agent)
	return inflight.Peer{ID: m.ID, Address: addr, Domain: m.Domain, SameRegion: m.Region == self.Region}, err == nil
}
