package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// troubleAt is when trouble begins, while callers ask for several times the limit.
const troubleAt = 15 * time.Second

func noCheck(*testing.T, *tally) {}

// trouble plays one with callers that ask for more than the limit before, in and after it.
func trouble(t *testing.T, play func(f *simFleet)) {
	t.Helper()
	eachFleet(t, beginsAt, endsAt, anyShare, func(f *simFleet) {
		f.demand = surge(0.62, 3, troubleAt-2*time.Second, troubleAt+12*time.Second)
		play(f)
	}, noCheck)
}

// Both parts of a fleet that is cut apart go on, and together keep to the limit.
func TestFleetCutApart(t *testing.T) {
	for name, inside := range map[string]func(f *simFleet, n *simNode) bool{
		"one region":     func(_ *simFleet, n *simNode) bool { return n.domain%simRegions == 0 },
		"half":           func(f *simFleet, n *simNode) bool { return n.domain < f.domains/2 },
		"a third of all": func(f *simFleet, n *simNode) bool { return (n.id/f.domains+n.domain)%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			trouble(t, func(f *simFleet) {
				f.at(troubleAt, func() { f.cut(func(n *simNode) bool { return inside(f, n) }) })
				f.at(troubleAt+6*time.Second, func() { f.cut(func(*simNode) bool { return false }) })
			})
		})
	}
}

// Entries are cut off one by one, among them many that carry few requests else, and callers
// go on to turn to them. An organisation with several times its limit had 646 requests more
// than rate and burst in five seconds: each of the entries that were cut off, alone with what
// it knew, took itself for one of those that carry requests, of which there were a dozen.
func TestEntriesCutOffOneByOne(t *testing.T) {
	trouble(t, func(f *simFleet) {
		f.strays = true
		f.at(troubleAt, func() {
			for _, n := range f.nodes {
				if n.id%3 == 0 {
					n.island = 1 + n.id
				}
			}
		})
		f.at(troubleAt+5*time.Second, func() { f.cut(func(*simNode) bool { return false }) })
	})
}

// After all nodes lost power nobody knows what was admitted before.
func TestAllNodesLosePower(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			trouble(t, func(f *simFleet) {
				f.at(troubleAt, func() {
					for _, n := range f.nodes {
						f.kill(n)
						f.after(down+time.Duration(f.rnd.Int64N(int64(100*time.Millisecond))), func() { f.start(n) })
					}
				})
			})
		})
	}
}

// Nodes are killed in series and start again.
func TestNodesAreKilled(t *testing.T) {
	trouble(t, func(f *simFleet) {
		for i := range 40 {
			f.at(troubleAt+time.Duration(i)*200*time.Millisecond, func() {
				n := f.nodes[f.rnd.IntN(len(f.nodes))]
				if n.dead {
					return
				}
				f.kill(n)
				f.after(time.Duration(f.rnd.Int64N(int64(2*time.Second))), func() { f.start(n) })
			})
		}
	})
}

// Callers move from the nodes of one failure domain to those of another.
func TestCallersMove(t *testing.T) {
	eachFleet(t, beginsAt, endsAt, mostRefused, func(f *simFleet) {
		f.weight = func(n *simNode, at time.Duration) float64 {
			switch moved := at > troubleAt; {
			case n.domain == 0 && moved:
				return 0.05
			case n.domain == 1 && moved:
				return 1.95
			}
			return 1
		}
	}, fewRefused)
}

// The time of day of some nodes steps back and on again.
func TestClocksStep(t *testing.T) {
	trouble(t, func(f *simFleet) {
		step := func(by time.Duration) func() {
			return func() {
				for _, n := range f.nodes {
					if n.id%3 == 0 {
						n.shift += by
					}
				}
			}
		}
		f.at(troubleAt, step(-2*time.Second))
		f.at(troubleAt+5*time.Second, step(2*time.Second))
	})
}

// Any of these at any time, several at once.
func TestLimitsInAnyTrouble(t *testing.T) {
	eachFleet(t, beginsAt, endsAt, anyShare, func(f *simFleet) {
		rnd := rand.New(rand.NewPCG(f.rnd.Uint64(), 1))
		from := 12*time.Second + time.Duration(rnd.Int64N(int64(5*time.Second)))
		f.demand = surge(0.62, 1+4*rnd.Float64(), from, from+time.Duration(rnd.Int64N(int64(12*time.Second))))
		for range 1 + rnd.IntN(4) {
			f.randomTrouble(rnd, from+time.Duration(rnd.Int64N(int64(10*time.Second))))
		}
	}, noCheck)
}

func (f *simFleet) randomTrouble(rnd *rand.Rand, at time.Duration) {
	lasts := time.Duration(rnd.Int64N(int64(5 * time.Second)))
	switch rnd.IntN(4) {
	case 0:
		domain := rnd.IntN(f.domains)
		f.at(at, func() { f.cut(func(n *simNode) bool { return n.domain == domain }) })
		f.at(at+lasts, func() { f.cut(func(*simNode) bool { return false }) })
	case 1:
		domain := rnd.IntN(f.domains)
		f.at(at, func() {
			for _, n := range f.nodes {
				if n.domain == domain {
					f.kill(n)
					f.after(lasts, func() { f.start(n) })
				}
			}
		})
	case 2:
		f.at(at, func() {
			for _, n := range f.nodes {
				f.kill(n)
				f.after(lasts/4, func() { f.start(n) })
			}
		})
	default:
		n := f.nodes[rnd.IntN(2*f.domains)]
		f.at(at, func() { f.kill(n) })
		f.at(at+lasts, func() { f.start(n) })
	}
}

// cut has the nodes that are inside hear only each other, and the others the same.
func (f *simFleet) cut(inside func(n *simNode) bool) {
	for _, n := range f.nodes {
		n.island = 0
		if inside(n) {
			n.island = 1
		}
	}
}
