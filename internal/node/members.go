package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

// Members returns the live nodes, without the local node once it is stopping. The list is
// shared and must not be modified.
func (n *Node) Members() []model.Member {
	all := *n.members.Load()
	if !n.stopping.Load() {
		return all
	}
	return n.view.WithoutSelf(all)
}

// ServingRegions returns the regions that may serve requests for a host; empty means all.
func (n *Node) ServingRegions(host string) []string {
	routes := n.routes.Load()
	if routes == nil {
		return nil
	}
	return routes.ServingRegions(host)
}

// SetAbsent sets the function that returns the nodes that are stopping, isolated or silent. Their
// registrations may remain during an outage of the key-value store.
func (n *Node) SetAbsent(absent func(now time.Time) map[string]bool) { n.absent.Store(&absent) }

// LookupMembers returns the nodes that look-ups return to callers: the live ones except absent
// nodes, and except this node while it is isolated. If that leaves none, it returns all: callers
// that reach an isolated node are served again as soon as it returns. It returns none before
// MarkSynced: until then the list of members may hold only the node itself, and the caller may be
// in another region. The result may be shared and must not be modified.
func (n *Node) LookupMembers() []model.Member {
	if !n.synced.Load() {
		return nil
	}
	members := n.Members()
	absent := (*n.absent.Load())(n.now())
	isolated := n.Entry.Proxy.Reach().Isolated()
	if len(absent) == 0 && !isolated {
		// Without absent members no copy is needed; copying the whole fleet for each look-up
		// would be expensive.
		return members
	}
	present := slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool {
		return absent[m.ID] || isolated && m.ID == n.self.ID
	})
	if len(present) == 0 {
		return members
	}
	return present
}

// peers returns the nodes to which requests may be handed over.
func (n *Node) peers() forward.Peers {
	absent := (*n.absent.Load())(n.now())
	var out forward.Peers
	for _, m := range *n.members.Load() {
		if m.Region == n.self.Region {
			out.InRegion++
		}
		if m.ID != n.self.ID && m.Live() && !absent[m.ID] {
			out.Usable = append(out.Usable, m)
		}
	}
	return out
}

// isPeer reports whether a node has an IP address.
func (n *Node) isPeer(id string, ip netip.Addr) bool {
	for _, m := range *n.members.Load() {
		if m.ID == id {
			addr, err := netip.ParseAddrPort(m.Agent)
			return err == nil && addr.Addr().Unmap() == ip
		}
	}
	return false
}

// SetRegistration sets the function that returns the period in which the node is registered.
func (n *Node) SetRegistration(registration func() model.Registration) {
	n.registration.Store(&registration)
}

// SetCountedByMost sets the function that reports whether most other nodes count this one as a member,
// as their reports show. They do so without a registration during an outage of the key-value store.
func (n *Node) SetCountedByMost(counted func(now time.Time) bool) { n.countedByMost.Store(&counted) }

// isMember reports whether the other nodes count this one as a member, and until when that is certain.
func (n *Node) isMember(now time.Time) (member bool, until time.Time) {
	r := (*n.registration.Load())()
	if now.Before(r.Until) {
		return !n.stopping.Load(), r.Until
	}
	return !n.stopping.Load() && (*n.countedByMost.Load())(now), now.Add(expireInterval)
}

// updateMember tells the proxy whether the node is a member.
func (n *Node) updateMember(now time.Time) {
	member, until := n.isMember(now)
	n.checkMemberAt.Store(until.UnixNano())
	n.Entry.Proxy.SetMember(member)
}

// Self returns the local node as the member that it registers. Its incarnation is the time
// now in Unix milliseconds.
func Self(id, region, domain, entryAddr, peerAddr string, now time.Time) model.Member {
	return model.Member{
		ID: id, Region: region, Domain: domain, Entry: entryAddr, Agent: peerAddr,
		State: membership.Alive, Incarnation: uint64(now.UnixMilli()),
	}
}
