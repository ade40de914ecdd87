package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Unix(1_800_000_000, 0)

func member(id string, incarnation uint64, s State) Member {
	return Member{ID: id, Incarnation: incarnation, State: s, Region: "muscat", Domain: "muscat-a", Agent: id}
}

func TestMergeOrder(t *testing.T) {
	tests := []struct {
		name      string
		have, got Member
		want      State
	}{
		{"suspect overrides alive", member("b", 1, Alive), member("b", 1, Suspect), Suspect},
		{"alive of the same incarnation does not override suspect", member("b", 1, Suspect), member("b", 1, Alive), Suspect},
		{"alive of a higher incarnation overrides suspect", member("b", 1, Suspect), member("b", 2, Alive), Alive},
		{"dead of an old incarnation does not override a restart", member("b", 2, Alive), member("b", 1, Dead), Alive},
		{"a restart overrides dead", member("b", 1, Dead), member("b", 2, Alive), Alive},
		{"an undefined state is ignored", member("b", 1, Alive), member("b", 9, State(77)), Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(member("a", 1, Alive), DefaultConfig())
			table.Merge(epoch, member("c", 1, Alive), member("b", 1, Alive), tt.have, tt.got)
			if m, _ := table.Get("b"); m.State != tt.want {
				t.Errorf("b is %v, want %v", m.State, tt.want)
			}
		})
	}
}

func TestStateText(t *testing.T) {
	for s := Alive; s <= Dead; s++ {
		text, _ := s.MarshalText()
		var got State
		if err := got.UnmarshalText(text); err != nil || got != s {
			t.Errorf("UnmarshalText(%q) = %v, %v, want the state with this name", text, got, err)
		}
	}
	if new(State).UnmarshalText(nil) == nil || new(State).UnmarshalText([]byte("asleep")) == nil {
		t.Error("UnmarshalText accepted an unknown state")
	}
}

func TestRefute(t *testing.T) {
	table := NewTable(member("a", 5, Alive), DefaultConfig())
	table.Merge(epoch, member("b", 1, Alive), member("a", 5, Suspect))
	if self := table.Self(); self.Incarnation != 6 || self.State != Alive {
		t.Errorf("self is %+v after a suspicion, want alive in incarnation 6", self)
	}
	// An update about an earlier process of the instance, whose clock was ahead.
	table.Merge(epoch, member("b", 1, Alive), member("a", 99, Dead))
	if self := table.Self(); self.Incarnation != 100 {
		t.Errorf("self is %+v after an update about an earlier process, want incarnation 100", self)
	}
}

func TestSuspicionTimeout(t *testing.T) {
	cfg := DefaultConfig()
	table := NewTable(member("a", 1, Alive), cfg)
	table.Merge(epoch, member("b", 1, Alive))
	table.MarkSuspect(epoch, "b")
	table.Tick(epoch.Add(cfg.SuspicionTimeout - 1))
	if m, _ := table.Get("b"); m.State != Suspect {
		t.Errorf("b is %v before the suspicion timeout, want suspect", m.State)
	}
	table.Tick(epoch.Add(cfg.SuspicionTimeout))
	if m, _ := table.Get("b"); m.State != Dead {
		t.Errorf("b is %v after the suspicion timeout, want dead", m.State)
	}
	table.Tick(epoch.Add(cfg.SuspicionTimeout + cfg.DeadRetention))
	if _, ok := table.Get("b"); ok {
		t.Error("dead member b is still in the table after the retention time")
	}
	table.Merge(epoch, member("c", 1, Alive), member("b", 1, Dead))
	if _, ok := table.Get("b"); ok {
		t.Error("late gossip added the expired dead member b again")
	}
}

// TestSuspicionFromOutsideScopeIsDisputed checks that a peer of another failure
// domain, which may be partitioned from an alive member of the own domain, cannot
// declare that member dead, while a peer of the own domain can.
func TestSuspicionFromOutsideScopeIsDisputed(t *testing.T) {
	table := NewTable(member("a", 1, Alive), DefaultConfig())
	table.Merge(epoch, member("b", 1, Alive), member("c", 1, Alive))
	far := Member{ID: "far", Incarnation: 1, State: Alive, Region: "sohar", Domain: "sohar-a"}
	disputed := table.Merge(epoch, far, member("b", 1, Dead))
	if m, _ := table.Get("b"); len(disputed) != 1 || m.State != Alive {
		t.Errorf("b is %v, disputed %v", m.State, disputed)
	}
	if disputed = table.Merge(epoch, member("c", 1, Alive), member("b", 1, Dead)); len(disputed) != 0 {
		t.Errorf("update from the own failure domain is disputed: %v", disputed)
	}
}

// TestGossipConverges exchanges updates between tables in random order, with false
// suspicions in between, then exchanges whole member lists, and checks that all
// tables end with equal digests and all members live.
func TestGossipConverges(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	props := gopter.NewProperties(params)
	props.Property("tables agree after whole lists are exchanged", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 2))
		const n = 6
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable(member(fmt.Sprint("m", i), 1, Alive), DefaultConfig())
		}
		exchange := func(a, b *Table) {
			b.Merge(epoch, a.Self(), a.NextUpdates(4)...)
			a.Merge(epoch, b.Self(), b.NextUpdates(4)...)
		}
		for range 200 {
			a, b := tables[rnd.IntN(n)], tables[rnd.IntN(n)]
			exchange(a, b)
			if rnd.IntN(10) == 0 {
				a.MarkSuspect(epoch, b.Self().ID)
			}
		}
		// Whole lists repair the differences that lost updates leave.
		for range 3 {
			for _, a := range tables {
				for _, b := range tables {
					list, _ := a.All()
					b.Merge(epoch, a.Self(), list...)
				}
			}
		}
		for _, x := range tables {
			if x.Digest() != tables[0].Digest() || len(x.ProbeScope()) != n-1 {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	props.TestingRun(t)
}
