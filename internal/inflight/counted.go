package inflight

import (
	"slices"
	"time"
)

// CountedByMost reports whether most other entries have recently sent reports to this one, which they
// do only while it is a member of the fleet for them. In a fleet with hubs, the reports of the own hub
// show it, and to a hub those of the other hubs. An entry that knows no others is counted.
func (x *Exchange) CountedByMost(now time.Time) bool {
	fleet := x.opt.Fleet()
	x.mu.Lock()
	defer x.mu.Unlock()
	reports := func(p Peer) bool { return now.Sub(x.hubs.lastReport[p.ID]) < idleReporterTimeout }
	switch {
	case len(fleet.Peers) <= maxDirect:
		return most(fleet.Peers, reports)
	case !x.isHub.Load() || len(fleet.RemoteHubs) == 0:
		return slices.ContainsFunc(fleet.HubCandidates, reports)
	}
	return most(fleet.RemoteHubs, func(p Peer) bool { return x.hubs.remoteHubs[p.Domain].fresh(now) })
}

// most reports whether a condition holds for at least half of the peers.
func most(peers []Peer, holds func(Peer) bool) bool {
	n := 0
	for _, p := range peers {
		if holds(p) {
			n++
		}
	}
	return 2*n >= len(peers)
}
