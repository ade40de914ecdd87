package node

import (
	"net/netip"
	"sync"

	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/relay"
)

// fleetCache holds the fleet as made from the members that it was asked for last:
// they change seldom, and the fleet is needed for each report. It is safe for
// concurrent use.
type fleetCache struct {
	mu      sync.Mutex
	members *[]model.Member
	fleet   inflight.Fleet
}

func (c *fleetCache) of(self model.Member, members *[]model.Member) inflight.Fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members != members {
		c.members, c.fleet = members, fleetOf(self, *members)
	}
	return c.fleet
}

// fleetOf returns the members that can be told. The hub of a failure domain is the
// member that also reads the key-value service for it, as long as it is not silent.
func fleetOf(self model.Member, members []model.Member) inflight.Fleet {
	var f inflight.Fleet
	carries := make(map[string]bool)
	for _, m := range model.Advertised(members) {
		carries[m.ID] = true
	}
	f.Advertised = carries[self.ID]
	byDomain := map[string][]model.Member{self.Domain: {self}}
	for _, m := range members {
		if m.ID == self.ID {
			continue
		}
		if p, ok := peerOf(self, m); ok {
			p.Advertised = carries[m.ID]
			f.Peers = append(f.Peers, p)
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	for domain, list := range byDomain {
		ordered := relay.RankMembers(domain, list)
		if domain != self.Domain {
			p, _ := peerOf(self, ordered[0])
			f.RemoteHubs = append(f.RemoteHubs, p)
			continue
		}
		for _, m := range ordered {
			p, _ := peerOf(self, m)
			f.HubCandidates = append(f.HubCandidates, p)
		}
	}
	return f
}

func peerOf(self, m model.Member) (inflight.Peer, bool) {
	addr, err := netip.ParseAddrPort(m.Agent)
	return inflight.Peer{ID: m.ID, Address: addr, Domain: m.Domain, SameRegion: m.Region == self.Region}, err == nil
}
