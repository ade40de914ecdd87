package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/tree"
)

var now = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

func addr(i uint32) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(i >> 24), byte(i >> 16), byte(i >> 8), byte(i)})
}

// table returns a table of a number of regions with a number of entries each, with a
// settings tree made by the edits.
func table(t testing.TB, regions, perRegion int, edits ...tree.Edit) *Table {
	t.Helper()
	if faults := tree.CheckEdits(edits); len(faults) > 0 {
		t.Fatal(faults)
	}
	in := model.Input{Region: "r0", Revision: 7, Tree: new(tree.Tree).Apply(edits, 7)}
	in.Directory.Upstreams = []model.Upstream{{ID: "u", Service: "stock", Region: "r0"}}
	for r := range regions {
		for i := range perRegion {
			in.Members = append(in.Members, membership.Member{
				ID: fmt.Sprintf("r%d-%d", r, i), State: membership.Alive, Region: fmt.Sprint("r", r),
				Domain: fmt.Sprintf("r%d-%c", r, 'a'+i%2), Entry: fmt.Sprintf("10.0.%d.%d:80", r, i),
			})
		}
	}
	return NewTable(model.Compile(in), NewBlocks(in.Tree, nil))
}

func TestLookupReturnsRegionsOfBlock(t *testing.T) {
	tb := table(t, 3, 4,
		tree.Edit{Path: "/blocks/handhelds", Key: "10.0.0.0/8", Value: "r1"},
		tree.Edit{Path: "/blocks/handhelds", Key: "10.9.0.0/16", Value: "r2,r1"},
	)
	tests := map[string][]string{
		"10.1.1.1":    {"r1", "r1", "r0"},
		"10.9.1.1":    {"r2", "r2", "r1"},
		"192.168.1.1": {"r0", "r0", "r1"},
	}
	for caller, want := range tests {
		a := tb.Lookup("stock", netip.MustParseAddr(caller), now)
		if a.N != MaxEntries {
			t.Fatalf("%s: %d entries", caller, a.N)
		}
		for i, e := range a.Entries {
			if e.Region != want[i] {
				t.Errorf("%s: entry %d is in %s, want %s", caller, i, e.Region, want[i])
			}
		}
	}
}

func TestLookupSkipsLostRegion(t *testing.T) {
	tb := table(t, 2, 2, tree.Edit{Path: "/blocks/b", Key: "10.0.0.0/8", Value: "r9,r1"})
	if a := tb.Lookup("stock", addr(10<<24), now); a.Entries[0].Region != "r1" {
		t.Errorf("first entry is in %s", a.Entries[0].Region)
	}
}

func TestCallersAreSpreadByWeight(t *testing.T) {
	tb := table(t, 1, 4, tree.Edit{Path: "/regions/r0/domains/r0-a", Key: tree.KeyWeight, Value: "3"})
	count := make(map[string]int)
	const callers = 40_000
	for i := range uint32(callers) {
		count[tb.Lookup("stock", addr(i*7919), now).Entries[0].ID]++
	}
	for id, n := range count {
		want := 1.0 / 8
		if id == "r0-0" || id == "r0-2" {
			want = 3.0 / 8
		}
		if got := float64(n) / callers; math.Abs(got-want) > 0.02 {
			t.Errorf("%s gets %.3f of the callers, want %.3f", id, got, want)
		}
	}
}

func TestSecondEntryIsInAnotherDomain(t *testing.T) {
	tb := table(t, 1, 6)
	for i := range uint32(500) {
		a := tb.Lookup("stock", addr(i), now)
		x, y := a.Entries[0].ID, a.Entries[1].ID
		if x[len(x)-1]%2 == y[len(y)-1]%2 {
			t.Fatalf("caller %d gets %s and %s, which are in the same failure domain", i, x, y)
		}
	}
}

// TestRemovedEntryMovesOnlyItsCallers compares the look-ups before and after one entry is
// removed.
func TestRemovedEntryMovesOnlyItsCallers(t *testing.T) {
	before, after := table(t, 1, 5), table(t, 1, 4)
	for i := range uint32(2000) {
		a, b := before.Lookup("stock", addr(i), now), after.Lookup("stock", addr(i), now)
		if was := a.Entries[0].ID; was != "r0-4" && was != b.Entries[0].ID {
			t.Fatalf("caller %d moved from %s to %s", i, was, b.Entries[0].ID)
		}
	}
}

func TestLifetimeShrinksBeforeScheduledChange(t *testing.T) {
	tb := table(t, 1, 2,
		tree.Edit{Path: "/drains/d", Key: tree.KeyRegion, Value: "r0"},
		tree.Edit{Path: "/drains/d", Key: tree.KeyStart, Value: now.Add(10 * time.Second).Format(time.RFC3339)},
	)
	tests := map[time.Duration]time.Duration{0: 5 * time.Second, 8 * time.Second: 2 * time.Second, time.Minute: 10 * time.Second}
	for in, want := range tests {
		if got := tb.Lookup("stock", addr(1), now.Add(in)).Lifetime; got != want {
			t.Errorf("after %v: lifetime %v, want %v", in, got, want)
		}
	}
}

func TestBlocksAreRebuiltOnlyOnChange(t *testing.T) {
	var tr tree.Tree
	t1 := tr.Apply([]tree.Edit{{Path: "/blocks/b", Key: "10.0.0.0/8", Value: "r1"}}, 1)
	b1 := NewBlocks(t1, nil)
	t2 := t1.Apply([]tree.Edit{{Path: "/services/s", Key: tree.KeyDeadline, Value: "2s"}}, 2)
	if NewBlocks(t2, b1) != b1 {
		t.Error("table was rebuilt by a change that touches no block")
	}
	t3 := t2.Apply([]tree.Edit{{Path: "/blocks/b", Key: "10.0.0.0/8", Unset: true}}, 3)
	if b3 := NewBlocks(t3, b1); b3.Len() != 0 {
		t.Errorf("%d blocks after the only block was unset", b3.Len())
	}
}

// BenchmarkLookup measures look-ups at design size: 370,000 blocks, 49 regions and
// 3,200 entries.
func BenchmarkLookup(b *testing.B) {
	const blocks, regions, perRegion = 370_000, 49, 65
	edits := make([]tree.Edit, blocks)
	for i := range edits {
		p := netip.PrefixFrom(addr(uint32(10<<24+i<<8)), 24)
		edits[i] = tree.Edit{Path: "/blocks/b", Key: p.String(), Value: fmt.Sprintf("r%d,r%d", i%regions, (i+1)%regions)}
	}
	for _, weights := range []string{"even", "uneven"} {
		all := edits
		if weights == "uneven" {
			for r := range regions {
				all = append(all, tree.Edit{Path: fmt.Sprintf("/regions/r%d/domains/r%d-a", r, r), Key: tree.KeyWeight, Value: "2"})
			}
		}
		tb := table(b, regions, perRegion, all...)
		rnd := rand.New(rand.NewPCG(1, 1))
		callers := make([]netip.Addr, 1<<16)
		for i := range callers {
			callers[i] = addr(uint32(10<<24) + rnd.Uint32N(blocks<<8))
		}
		b.Run(weights, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := tb.Lookup("stock", callers[i&(1<<16-1)], now)
				if a.N == 0 {
					b.Fatal("look-up returned no entry")
				}
			}
		})
	}
}
