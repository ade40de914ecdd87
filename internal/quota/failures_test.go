package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// failureAt is the time of the first failure. Callers demand several times the limit then.
const failureAt = 15 * time.Second

// noCheck is for tests that check no more than the excess over the limit.
func noCheck(*testing.T, *tally) {}

// simulateFailure simulates a failure while callers demand more than the limit, from before the
// failure until after it.
func simulateFailure(t *testing.T, setUp func(f *simFleet)) {
	t.Helper()
	simulateFleets(t, startAt, endAt, anyShare, func(f *simFleet) {
		f.demand = surge(0.62, 3, failureAt-2*time.Second, failureAt+12*time.Second)
		setUp(f)
	}, noCheck)
}

// TestNetworkPartition checks that both parts of a partitioned fleet go on to admit requests
// and together keep to the limit.
func TestNetworkPartition(t *testing.T) {
	for name, inside := range map[string]func(f *simFleet, n *simNode) bool{
		"one region":     func(_ *simFleet, n *simNode) bool { return n.domain%simRegions == 0 },
		"half":           func(f *simFleet, n *simNode) bool { return n.domain < f.domains/2 },
		"a third of all": func(f *simFleet, n *simNode) bool { return (n.id/f.domains+n.domain)%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			simulateFailure(t, func(f *simFleet) {
				f.at(failureAt, func() { f.partition(func(n *simNode) bool { return inside(f, n) }) })
				f.at(failureAt+6*time.Second, func() { f.partition(func(*simNode) bool { return false }) })
			})
		})
	}
}

// TestEntriesIsolatedOneByOne isolates entries from each other, many of which have few requests
// otherwise, while callers go on to send to them. If each isolated entry takes the share of one
// of the dozen serving entries, an organisation with a demand of several times its limit gets
// 646 requests more than rate and burst in five seconds.
func TestEntriesIsolatedOneByOne(t *testing.T) {
	simulateFailure(t, func(f *simFleet) {
		f.isolatedServe = true
		f.at(failureAt, func() {
			for _, n := range f.nodes {
				if n.id%3 == 0 {
					n.partition = 1 + n.id
				}
			}
		})
		f.at(failureAt+5*time.Second, func() { f.partition(func(*simNode) bool { return false }) })
	})
}

// TestAllNodesLosePower restarts all nodes at once, so that no record is left of the requests
// that were admitted before.
func TestAllNodesLosePower(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			simulateFailure(t, func(f *simFleet) {
				f.at(failureAt, func() {
					for _, n := range f.nodes {
						f.kill(n)
						f.after(down+time.Duration(f.rnd.Int64N(int64(100*time.Millisecond))), func() { f.start(n) })
					}
				})
			})
		})
	}
}

// TestNodesKilled kills nodes one after the other and starts them again.
func TestNodesKilled(t *testing.T) {
	simulateFailure(t, func(f *simFleet) {
		for i := range 40 {
			f.at(failureAt+time.Duration(i)*200*time.Millisecond, func() {
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

// TestCallersMoveBetweenDomains moves callers from the nodes of one failure domain to those of
// another.
func TestCallersMoveBetweenDomains(t *testing.T) {
	simulateFleets(t, startAt, endAt, maxRefusedShare, func(f *simFleet) {
		f.weight = func(n *simNode, at time.Duration) float64 {
			switch moved := at > failureAt; {
			case n.domain == 0 && moved:
				return 0.05
			case n.domain == 1 && moved:
				return 1.95
			}
			return 1
		}
	}, checkFewRefused)
}

// TestClocksStep sets the clocks of some nodes back, and forward again later.
func TestClocksStep(t *testing.T) {
	simulateFailure(t, func(f *simFleet) {
		step := func(by time.Duration) func() {
			return func() {
				for _, n := range f.nodes {
					if n.id%3 == 0 {
						n.clockOffset += by
					}
				}
			}
		}
		f.at(failureAt, step(-2*time.Second))
		f.at(failureAt+5*time.Second, step(2*time.Second))
	})
}

// TestRandomFailures combines several of these failures at random times.
func TestRandomFailures(t *testing.T) {
	simulateFleets(t, startAt, endAt, anyShare, func(f *simFleet) {
		rnd := rand.New(rand.NewPCG(f.rnd.Uint64(), 1))
		from := 12*time.Second + time.Duration(rnd.Int64N(int64(5*time.Second)))
		f.demand = surge(0.62, 1+4*rnd.Float64(), from, from+time.Duration(rnd.Int64N(int64(12*time.Second))))
		for range 1 + rnd.IntN(4) {
			f.randomFailure(rnd, from+time.Duration(rnd.Int64N(int64(10*time.Second))))
		}
	}, noCheck)
}

// randomFailure schedules a random failure at a time since t0.
func (f *simFleet) randomFailure(rnd *rand.Rand, at time.Duration) {
	duration := time.Duration(rnd.Int64N(int64(5 * time.Second)))
	switch rnd.IntN(4) {
	case 0:
		domain := rnd.IntN(f.domains)
		f.at(at, func() { f.partition(func(n *simNode) bool { return n.domain == domain }) })
		f.at(at+duration, func() { f.partition(func(*simNode) bool { return false }) })
	case 1:
		domain := rnd.IntN(f.domains)
		f.at(at, func() {
			for _, n := range f.nodes {
				if n.domain == domain {
					f.kill(n)
					f.after(duration, func() { f.start(n) })
				}
			}
		})
	case 2:
		f.at(at, func() {
			for _, n := range f.nodes {
				f.kill(n)
				f.after(duration/4, func() { f.start(n) })
			}
		})
	default:
		n := f.nodes[rnd.IntN(2*f.domains)]
		f.at(at, func() { f.kill(n) })
		f.at(at+duration, func() { f.start(n) })
	}
}

// partition lets the nodes for which inside returns true reach only each other, and the other
// nodes likewise.
func (f *simFleet) partition(inside func(n *simNode) bool) {
	for _, n := range f.nodes {
		n.partition = 0
		if inside(n) {
			n.partition = 1
		}
	}
}
