package inflight

import (
	"fmt"
	"testing"
	"time"
)

// TestCountedByMost has reports arrive from some of the other entries, in a small fleet, at an entry
// with a hub and at a hub.
func TestCountedByMost(t *testing.T) {
	peers := func(n int, domain string) (out []Peer) {
		for i := range n {
			out = append(out, Peer{ID: fmt.Sprint(domain, i), Domain: domain})
		}
		return out
	}
	direct := Fleet{Peers: peers(4, "d")}
	byHubs := Fleet{Peers: peers(maxDirect+1, "d"), HubCandidates: peers(2, "d"), RemoteHubs: append(peers(1, "e"), peers(1, "f")...)}
	for _, tt := range []struct {
		name    string
		fleet   Fleet
		hub     bool
		reports []Peer
		want    bool
	}{
		{"alone", Fleet{}, false, nil, true},
		{"no report", direct, false, nil, false},
		{"one of four", direct, false, direct.Peers[:1], false},
		{"half", direct, false, direct.Peers[:2], true},
		{"own hub is silent", byHubs, false, nil, false},
		{"own hub reports", byHubs, false, byHubs.HubCandidates[:1], true},
		{"hub without reports of others", byHubs, true, byHubs.HubCandidates[:1], false},
		{"hub with reports of half of the others", byHubs, true, byHubs.RemoteHubs[:1], true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := &Exchange{opt: Options{Fleet: func() Fleet { return tt.fleet }}, hubs: newHubs("self")}
			x.isHub.Store(tt.hub)
			for _, p := range tt.reports {
				x.hubs.record(p, &Report{Scope: ScopeDomain}, t0)
			}
			if got := x.CountedByMost(t0.Add(reporterTimeout - time.Millisecond)); got != tt.want {
				t.Errorf("counted: %v, want %v", got, tt.want)
			}
			if x.CountedByMost(t0.Add(idleReporterTimeout)) && len(tt.reports) > 0 {
				t.Error("old reports count")
			}
		})
	}
}
