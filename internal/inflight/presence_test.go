package inflight

import (
	"maps"
	"slices"
	"testing"
	"time"
)

func TestPresence(t *testing.T) {
	peers := []Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	for _, tt := range []struct {
		name string
		// reported has the time of each peer's last report, after t0.
		reported map[string]time.Duration
		leaving  string
		now      time.Duration
		absent   []string
	}{
		{"listed just now", nil, "", silentAfter - 1, nil},
		{"one silent", map[string]time.Duration{"a": silentAfter, "b": silentAfter, "c": silentAfter}, "", silentAfter, []string{"d"}},
		{"half silent", map[string]time.Duration{"a": silentAfter, "b": silentAfter}, "", silentAfter, []string{"c", "d"}},
		{"most silent, so cut off", map[string]time.Duration{"a": silentAfter}, "", silentAfter, nil},
		{"one stops", map[string]time.Duration{"a": 0, "b": 0, "c": 0, "d": 0}, "b", silentAfter - 1, []string{"b"}},
	} {
		p := newPresence()
		p.setListed(peers, t0)
		lastReport := make(map[string]time.Time)
		for id, d := range tt.reported {
			lastReport[id] = at(d)
			p.record(id, id == tt.leaving)
		}
		if got := slices.Sorted(maps.Keys(p.absent(lastReport, at(tt.now)))); !slices.Equal(got, tt.absent) {
			t.Errorf("%s: absent are %v, want %v", tt.name, got, tt.absent)
		}
	}
}

// TestPresenceOfRelistedEntry lists an entry again that was gone: the leaving flag of its
// earlier run no longer counts.
func TestPresenceOfRelistedEntry(t *testing.T) {
	p := newPresence()
	p.setListed([]Peer{{ID: "a"}, {ID: "b"}}, t0)
	p.record("a", true)
	p.setListed([]Peer{{ID: "b"}}, t0)
	p.setListed([]Peer{{ID: "a"}, {ID: "b"}}, t0)
	if got := p.absent(map[string]time.Time{"a": t0}, t0); len(got) > 0 {
		t.Errorf("absent are %v", got)
	}
}
