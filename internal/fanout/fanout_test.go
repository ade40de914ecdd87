package fanout

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func ids(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("instance-", i)
	}
	return out
}

// TestTreeReachesAll checks for domains of 1 to 200 members that each member is
// either a reader or the child of exactly one other member.
func TestTreeReachesAll(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	props := gopter.NewProperties(params)
	props.Property("each member is reached once", prop.ForAll(func(n int) bool {
		all := ids(n)
		reached := make(map[string]int)
		for _, id := range all {
			p := New("d", id, all)
			if p.Reader {
				reached[id]++
			}
			if len(p.Children) > Degree || p.Reader != (p.Rank < ReadersPerDomain) {
				return false
			}
			for _, c := range p.Children {
				reached[c]++
			}
		}
		for _, id := range all {
			if reached[id] != 1 {
				return false
			}
		}
		return true
	}, gen.IntRange(1, 200)))
	props.TestingRun(t)
}

func TestOrderIsTheSameForAll(t *testing.T) {
	a := ids(40)
	b := slices.Clone(a)
	slices.Reverse(b)
	if !slices.Equal(Order("d", a), Order("d", b)) {
		t.Error("Order depends on the order of its argument")
	}
}

// TestRemovalKeepsOrder checks that the removal of a member does not reorder the
// others.
func TestRemovalKeepsOrder(t *testing.T) {
	all := ids(40)
	order := Order("d", all)
	without := Order("d", slices.DeleteFunc(slices.Clone(all), func(id string) bool { return id == order[5] }))
	if !slices.Equal(without, slices.Concat(order[:5], order[6:])) {
		t.Error("the removal of one member reordered the others")
	}
}

func TestSelfIsAdded(t *testing.T) {
	if p := New("d", "lonely", nil); !p.Reader || len(p.Children) != 0 {
		t.Errorf("plan of the only member is %+v, want a reader without children", p)
	}
}
