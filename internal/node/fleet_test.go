package node

import (
	"testing"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

// TestBuildFleet checks the peers and the candidates for hub of each failure domain, also
// for a member without a valid peer address.
func TestBuildFleet(t *testing.T) {
	member := func(id, domain string, link float64) model.Member {
		return model.Member{ID: id, Region: domain[:1], Domain: domain, Agent: "10.0.0.1:7200", State: membership.Alive, LinkMbps: link}
	}
	self := member("self", "m1", 10)
	unreachable := member("unreachable", "m1", 900)
	unreachable.Agent = "nowhere"
	f := buildFleet(self, []model.Member{
		self, unreachable,
		member("slow", "m1", 1), member("fast", "m1", 200),
		member("near", "m2", 10), member("far", "s1", 10), member("far-fast", "s1", 50),
	})
	var hubs, remote []string
	for _, p := range f.HubCandidates {
		hubs = append(hubs, p.ID)
	}
	for _, p := range f.RemoteHubs {
		remote = append(remote, p.ID)
		if near := p.Domain == "m2"; p.SameRegion != near {
			t.Errorf("wrong SameRegion: %+v", p)
		}
	}
	if len(f.Peers) != 5 || len(hubs) != 3 || hubs[0] != "fast" || hubs[1] != "self" || hubs[2] != "slow" {
		t.Errorf("%d peers, hub candidates %v", len(f.Peers), hubs)
	}
	if len(remote) != 2 || remote[0] != "near" && remote[1] != "near" || remote[0] != "far-fast" && remote[1] != "far-fast" {
		t.Errorf("remote hubs %v", remote)
	}
}
