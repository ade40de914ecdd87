package overload

import (
	"testing"
	"time"
)

// TestMix checks from which part of other requests on an order is needed, and that it ends.
func TestMix(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tt := range []struct {
		name  string
		other Request
		every int
		want  bool
	}{
		{"none", Request{}, 0, false},
		{"alike", Request{Rank: 1, Objective: time.Second}, 2, false},
		{"one in forty of another rank", Request{Rank: 0, Objective: time.Second}, 40, false},
		{"one in five of another rank", Request{Rank: 0, Objective: time.Second}, 5, true},
		{"one in five with another objective", Request{Rank: 1, Objective: 2 * time.Second}, 5, true},
	} {
		var m Mix
		now := start
		for i := range 1000 {
			now = start.Add(time.Duration(i) * 10 * time.Millisecond)
			r := Request{Rank: 1, Objective: time.Second}
			if tt.every > 0 && i%tt.every == 0 {
				r = tt.other
			}
			m.Arrive(now, r)
		}
		if got := m.Contended(now); got != tt.want {
			t.Errorf("%s: contended %v", tt.name, got)
		}
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			m.Arrive(now, Request{Rank: 1, Objective: time.Second})
			if i == 999 && m.Contended(now) {
				t.Errorf("%s: contended ten seconds later", tt.name)
			}
		}
	}
}

// TestMixForgets counts requests of more urgencies than a Mix tells apart, and then of one.
func TestMixForgets(t *testing.T) {
	var m Mix
	now := time.Unix(0, 0)
	for i := range 2 * maxUrgencies {
		m.Arrive(now, Request{Rank: i})
	}
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		m.Arrive(now, Request{Rank: 1, Objective: time.Second})
	}
	if m.Contended(now) {
		t.Error("equal requests count as different")
	}
}
