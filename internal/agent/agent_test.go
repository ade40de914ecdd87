package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// inForce is the users' bound on the time from acceptance to being in force
// everywhere.
const inForce = 6 * time.Second

// rumorReach bounds how long a record takes to all agents when it travels by
// pushes alone. Healing by probes takes some periods more.
const rumorReach = 200 * time.Millisecond

func storeDown(standin.Op, string) standin.Fault { return standin.Fault{Down: true} }

func TestChangeReachesAll(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 3, 2, 4)
		rev := commit(t, nodes[5], change("c1", "2s"))
		took := waitUntil(t, "in force", inForce, allAt(nodes, rev))
		t.Logf("in force at %d agents after %v", len(nodes), took)
	})
}

// TestStoreKilledAfterAcceptance takes the store away in the moment that a
// change is accepted, at an agent that is no reader and at one that is.
func TestStoreKilledAfterAcceptance(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 3, 2, 4)
		for _, reader := range []bool{false, true} {
			for _, x := range nodes {
				if x.plan().Reader != reader {
					continue
				}
				accepted := false
				n.store.SetFault(func(op standin.Op, key string) standin.Fault {
					if op == standin.OpSwap && strings.HasPrefix(key, "log/") && !accepted {
						accepted = true
						return standin.Fault{}
					}
					return standin.Fault{Down: accepted}
				})
				rev := commit(t, x, change("c-"+x.opt.Self.ID, "2s"))
				took := waitUntil(t, "in force without the store", rumorReach, allAt(nodes, rev))
				t.Logf("reader %v: in force after %v", reader, took)
				n.store.SetFault(nil)
				break
			}
		}
	})
}

// TestReadersKilled kills every reader together with the change's acceptance.
func TestReadersKilled(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 2, 2, 6)
		var readers, others []*node
		for _, x := range nodes {
			if x.plan().Reader {
				readers = append(readers, x)
			} else {
				others = append(others, x)
			}
		}
		for _, x := range readers {
			n.kill(x)
		}
		rev := commit(t, others[0], change("c1", "2s"))
		took := waitUntil(t, "in force without the readers", inForce, allAt(others, rev))
		t.Logf("%d readers killed, in force at the %d others after %v", len(readers), len(others), took)
	})
}

// TestRegionsCutApart cuts one region off from the others and from the store,
// changes the configuration, and heals the cut.
func TestRegionsCutApart(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 3, 2, 2)
		alone := func(addr string) bool { return strings.HasPrefix(addr, "m2-") }
		n.setCut(func(from, to string) bool { return alone(from) != alone(to) })
		time.Sleep(2 * keepDead)
		rev := commit(t, nodes[0], change("c1", "2s"))
		time.Sleep(inForce)
		for _, x := range nodes {
			if got := x.log.Revision(); alone(x.opt.Self.ID) != (got < rev) {
				t.Errorf("%s is at revision %d during the cut", x.opt.Self.ID, got)
			}
		}
		n.setCut(nil)
		took := waitUntil(t, "in force after the cut", inForce, allAt(nodes, rev))
		joined := waitUntil(t, "all know all again", time.Minute, func() bool {
			for _, x := range nodes {
				for _, m := range x.table.Scope() {
					if m.State != membership.Alive {
						t.Errorf("%s took its neighbour %s for %v while the cut healed", x.opt.Self.ID, m.ID, m.State)
					}
				}
				if live(x) != len(nodes) {
					return false
				}
			}
			return true
		})
		t.Logf("healed: in force after %v, members joined after %v", took, took+joined)
	})
}

// TestNewcomerWhileStoreIsAway starts an instance during an outage.
func TestNewcomerWhileStoreIsAway(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 2, 2, 2)
		rev := commit(t, nodes[0], change("c1", "2s"))
		waitUntil(t, "in force", inForce, allAt(nodes, rev))
		n.store.SetFault(storeDown)
		n.list.SetDown(true)
		fresh := n.run(t, "m0-a-9", "m0", "m0-a", 1)
		took := waitUntil(t, "newcomer has the state", 2*time.Second, func() bool { return fresh.log.Revision() == rev })
		t.Logf("state after %v from %v", took, fresh.origin.Load())
	})
}

// TestRackFails kills many members of a failure domain at once: all others must
// agree on exactly those, and no live one may be declared dead.
func TestRackFails(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 2, 2, 12)
		dead := make(map[string]bool)
		var left []*node
		for i, x := range nodes {
			if i < 10 {
				dead[x.opt.Self.ID] = true
				n.kill(x)
			} else {
				left = append(left, x)
			}
		}
		took := waitUntil(t, "all know the failure", time.Minute, func() bool {
			for _, x := range left {
				if live(x) != len(left) {
					return false
				}
			}
			return true
		})
		time.Sleep(quiet)
		for _, x := range left {
			all, _ := x.table.All()
			for _, m := range all {
				if m.Live() == dead[m.ID] {
					t.Errorf("%s believes that %s is %v", x.opt.Self.ID, m.ID, m.State)
				}
			}
		}
		t.Logf("%d of %d killed, known to all others after %v", len(dead), len(nodes), took)
	})
}

// TestRestartAndReplacement restarts an instance under its name, also with a
// clock that was set back.
func TestRestartAndReplacement(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 2, 1, 3)
		for _, incarnation := range []uint64{5, 2} {
			n.kill(nodes[1])
			waitUntil(t, "failure known", time.Minute, func() bool { m, _ := nodes[4].table.Get("m0-a-1"); return !m.Live() })
			nodes[1] = n.run(t, "m0-a-1", "m0", "m0-a", incarnation)
			waitUntil(t, "restart known", time.Minute, func() bool { m, _ := nodes[4].table.Get("m0-a-1"); return m.State == membership.Alive })
		}
	})
}

// TestLeavingIsKnown takes a leaving instance out without waiting for a probe
// to fail, and never back in.
func TestLeavingIsKnown(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 2, 2, 2)
		nodes[0].Leave(t.Context())
		n.kill(nodes[0])
		took := waitUntil(t, "leaving known", 3*time.Second, func() bool {
			for _, x := range nodes[1:] {
				if m, _ := x.table.Get("m0-a-0"); m.Live() {
					return false
				}
			}
			return true
		})
		t.Logf("known after %v", took)
	})
}

// TestNewcomerTakesLargeState starts an instance when no agent holds the records
// any more, so that it needs a snapshot.
func TestNewcomerTakesLargeState(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := grid(t, n, 1, 2, 2)
		rev := importBlocks(t, nodes[0], 30, 1000)
		waitUntil(t, "in force", inForce, allAt(nodes, rev))
		fresh := n.run(t, "m0-a-9", "m0", "m0-a", 1)
		waitUntil(t, "newcomer has the state", 2*time.Second, func() bool { return fresh.log.Revision() == rev })
		if _, whole := fresh.log.Since(0, 1); whole {
			t.Error("the newcomer got the records, not a snapshot")
		}
		_, tr, _ := fresh.log.Current()
		if got := len(tr.BlockPaths()); got != 30 {
			t.Errorf("newcomer has %d paths of blocks", got)
		}
	})
}

// importBlocks makes changes with many edits each.
func importBlocks(t *testing.T, x *node, changes, edits int) uint64 {
	t.Helper()
	var rev uint64
	for c := range changes {
		ch := configlog.Change{ID: fmt.Sprint("import-", c), Author: "op"}
		for i := range edits {
			key := fmt.Sprintf("10.%d.%d.0/24", c, i%256)
			if i >= 256 {
				key = fmt.Sprintf("10.%d.%d.%d/32", c, i%256, i/256)
			}
			ch.Edits = append(ch.Edits, tree.Edit{Path: fmt.Sprint("/blocks/b", c), Key: key, Value: "m0"})
		}
		rev = commit(t, x, ch)
	}
	return rev
}
