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

var start = time.Unix(1_800_000_000, 0)

func member(id string, incarnation uint64, s State) Member {
	return Member{ID: id, Incarnation: incarnation, State: s, Region: "muscat", Domain: "muscat-a", Agent: id}
}

func TestMergeOrder(t *testing.T) {
	tests := []struct {
		name      string
		have, got Member
		want      State
	}{
		{"suspicion beats alive", member("b", 1, Alive), member("b", 1, Suspect), Suspect},
		{"alive of the same incarnation does not beat suspicion", member("b", 1, Suspect), member("b", 1, Alive), Suspect},
		{"a refutation beats suspicion", member("b", 1, Suspect), member("b", 2, Alive), Alive},
		{"an old death does not beat a restart", member("b", 2, Alive), member("b", 1, Dead), Alive},
		{"a restart beats death", member("b", 1, Dead), member("b", 2, Alive), Alive},
		{"nonsense is passed over", member("b", 1, Alive), member("b", 9, State(77)), Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(member("a", 1, Alive), DefaultConfig())
			table.Merge(start, member("c", 1, Alive), member("b", 1, Alive), tt.have, tt.got)
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
			t.Errorf("%s read back as %v, %v", text, got, err)
		}
	}
	if new(State).UnmarshalText(nil) == nil || new(State).UnmarshalText([]byte("asleep")) == nil {
		t.Error("a state that is none was read")
	}
}

func TestRefute(t *testing.T) {
	table := NewTable(member("a", 5, Alive), DefaultConfig())
	table.Merge(start, member("b", 1, Alive), member("a", 5, Suspect))
	if self := table.Self(); self.Incarnation != 6 || self.State != Alive {
		t.Errorf("self is %+v after a suspicion", self)
	}
	// An earlier life with a clock ahead of this one.
	table.Merge(start, member("b", 1, Alive), member("a", 99, Dead))
	if self := table.Self(); self.Incarnation != 100 {
		t.Errorf("self is %+v after news of an earlier life", self)
	}
}

func TestSuspectDies(t *testing.T) {
	cfg := DefaultConfig()
	table := NewTable(member("a", 1, Alive), cfg)
	table.Merge(start, member("b", 1, Alive))
	table.MarkSuspect(start, "b")
	table.Tick(start.Add(cfg.SuspicionTimeout - 1))
	if m, _ := table.Get("b"); m.State != Suspect {
		t.Errorf("b is %v before its time", m.State)
	}
	table.Tick(start.Add(cfg.SuspicionTimeout))
	if m, _ := table.Get("b"); m.State != Dead {
		t.Errorf("b is %v after its time", m.State)
	}
	table.Tick(start.Add(cfg.SuspicionTimeout + cfg.DeadRetention))
	if _, ok := table.Get("b"); ok {
		t.Error("b is not forgotten")
	}
	table.Merge(start, member("c", 1, Alive), member("b", 1, Dead))
	if _, ok := table.Get("b"); ok {
		t.Error("a forgotten death came back")
	}
}

// TestOutsideSuspicionIsDisputed keeps a live neighbour alive when a peer from
// another failure domain, cut off from it, takes it for dead.
func TestOutsideSuspicionIsDisputed(t *testing.T) {
	table := NewTable(member("a", 1, Alive), DefaultConfig())
	table.Merge(start, member("b", 1, Alive), member("c", 1, Alive))
	far := Member{ID: "far", Incarnation: 1, State: Alive, Region: "sohar", Domain: "sohar-a"}
	disputed := table.Merge(start, far, member("b", 1, Dead))
	if m, _ := table.Get("b"); len(disputed) != 1 || m.State != Alive {
		t.Errorf("b is %v, disputed %v", m.State, disputed)
	}
	if disputed = table.Merge(start, member("c", 1, Alive), member("b", 1, Dead)); len(disputed) != 0 {
		t.Errorf("word from the own domain is disputed: %v", disputed)
	}
}

// TestSpreadingConverges lets tables exchange beliefs in random order, with all
// messages about some members lost for a while, and checks that they agree in
// the end and that their digests say so.
func TestSpreadingConverges(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	props := gopter.NewProperties(params)
	props.Property("tables agree after quiet", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 2))
		const n = 6
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable(member(fmt.Sprint("m", i), 1, Alive), DefaultConfig())
		}
		exchange := func(a, b *Table) {
			b.Merge(start, a.Self(), a.NextUpdates(4)...)
			a.Merge(start, b.Self(), b.NextUpdates(4)...)
		}
		for range 200 {
			a, b := tables[rnd.IntN(n)], tables[rnd.IntN(n)]
			exchange(a, b)
			if rnd.IntN(10) == 0 {
				a.MarkSuspect(start, b.Self().ID)
			}
		}
		// Whole lists heal what single updates have missed.
		for range 3 {
			for _, a := range tables {
				for _, b := range tables {
					list, _ := a.All()
					b.Merge(start, a.Self(), list...)
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
