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

// propagationBound is the longest allowed time, as required by users, from the
// acceptance of a change until it is in force at all agents.
const propagationBound = 6 * time.Second

// pushBound is the longest time in which pushes alone deliver a record to all agents.
// Repair by probes takes several probe periods more.
const pushBound = 200 * time.Millisecond

// storeDown makes every store operation fail.
func storeDown(standin.Op, string) standin.Fault { return standin.Fault{Down: true} }

func TestChangeReachesAll(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 3, 2, 4)
		rev := commit(t, nodes[5], change("c1", "2s"))
		took := waitUntil(t, "change in force", propagationBound, allAt(nodes, rev))
		t.Logf("in force at %d agents after %v", len(nodes), took)
	})
}

// TestStoreKilledAfterAcceptance checks that a change reaches all agents by pushes
// alone if the store fails right after accepting it, both when a reader committed the
// change and when another agent did.
func TestStoreKilledAfterAcceptance(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 3, 2, 4)
		for _, reader := range []bool{false, true} {
			for _, x := range nodes {
				if x.plan().Reader != reader {
					continue
				}
				accepted := false
				n.store.SetFault(func(op standin.Op, key string) standin.Fault {
					if op == standin.OpCompareAndSwap && strings.HasPrefix(key, "log/") && !accepted {
						accepted = true
						return standin.Fault{}
					}
					return standin.Fault{Down: accepted}
				})
				rev := commit(t, x, change("c-"+x.opt.Self.ID, "2s"))
				took := waitUntil(t, "change in force without the store", pushBound, allAt(nodes, rev))
				t.Logf("reader %v: in force after %v", reader, took)
				n.store.SetFault(nil)
				break
			}
		}
	})
}

// TestReadersKilled checks that a change reaches all remaining agents if every reader
// fails just before the change is committed.
func TestReadersKilled(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 2, 2, 6)
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
		took := waitUntil(t, "change in force without the readers", propagationBound, allAt(others, rev))
		t.Logf("%d readers killed, in force at the %d others after %v", len(readers), len(others), took)
	})
}

// TestRegionsCutApart partitions one region from the others and from the store for
// longer than dead members are retained, and changes the configuration meanwhile.
// After the partition the change must reach all agents, all must become live members
// of each other again, and no member may be suspected by its own probe scope.
func TestRegionsCutApart(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 3, 2, 2)
		alone := func(addr string) bool { return strings.HasPrefix(addr, "m2-") }
		n.setCut(func(from, to string) bool { return alone(from) != alone(to) })
		time.Sleep(2 * deadRetention)
		rev := commit(t, nodes[0], change("c1", "2s"))
		time.Sleep(propagationBound)
		for _, x := range nodes {
			if got := x.log.Revision(); alone(x.opt.Self.ID) != (got < rev) {
				t.Errorf("%s is at revision %d during the partition", x.opt.Self.ID, got)
			}
		}
		n.setCut(nil)
		took := waitUntil(t, "change in force after the partition", propagationBound, allAt(nodes, rev))
		joined := waitUntil(t, "full membership after the partition", time.Minute, func() bool {
			for _, x := range nodes {
				for _, m := range x.table.ProbeScope() {
					if m.State != membership.Alive {
						t.Errorf("%s has %s of its probe scope as %v after the partition, want alive", x.opt.Self.ID, m.ID, m.State)
					}
				}
				if liveCount(x) != len(nodes) {
					return false
				}
			}
			return true
		})
		t.Logf("partition ended: in force after %v, full membership after %v", took, took+joined)
	})
}

// TestStartWithoutPlatform checks that an instance that starts while the store and the
// instance list are down loads its state from a peer.
func TestStartWithoutPlatform(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 2, 2, 2)
		rev := commit(t, nodes[0], change("c1", "2s"))
		waitUntil(t, "change in force", propagationBound, allAt(nodes, rev))
		n.store.SetFault(storeDown)
		n.list.SetDown(true)
		fresh := n.run(t, "m0-a-9", "m0", "m0-a", 1)
		took := waitUntil(t, "state loaded at the new instance", 2*time.Second, func() bool { return fresh.log.Revision() == rev })
		t.Logf("state loaded after %v from %v", took, fresh.origin.Load())
	})
}

// TestRackFails kills 10 of the 12 members of a failure domain at once. All others
// must detect exactly these failures and declare no live member dead.
func TestRackFails(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 2, 2, 12)
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
		took := waitUntil(t, "failures detected by all others", time.Minute, func() bool {
			for _, x := range left {
				if liveCount(x) != len(left) {
					return false
				}
			}
			return true
		})
		time.Sleep(stablePeriod)
		for _, x := range left {
			all, _ := x.table.All()
			for _, m := range all {
				if m.Live() == dead[m.ID] {
					t.Errorf("%s has %s as %v", x.opt.Self.ID, m.ID, m.State)
				}
			}
		}
		t.Logf("%d of %d killed, detected by all others after %v", len(dead), len(nodes), took)
	})
}

// TestRestartUnderSameID checks that an instance that restarts under the same ID is
// live again, with a higher incarnation, and with a lower one as after a clock was
// set back.
func TestRestartUnderSameID(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 2, 1, 3)
		for _, incarnation := range []uint64{5, 2} {
			n.kill(nodes[1])
			waitUntil(t, "failure detected", time.Minute, func() bool { m, _ := nodes[4].table.Get("m0-a-1"); return !m.Live() })
			nodes[1] = n.run(t, "m0-a-1", "m0", "m0-a", incarnation)
			waitUntil(t, "restart detected", time.Minute, func() bool { m, _ := nodes[4].table.Get("m0-a-1"); return m.State == membership.Alive })
		}
	})
}

// TestLeave checks that all others stop counting a leaving instance as live within 3 s,
// sooner than failed probes would show it.
func TestLeave(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 2, 2, 2)
		nodes[0].Leave(t.Context())
		n.kill(nodes[0])
		took := waitUntil(t, "leaving detected by all others", 3*time.Second, func() bool {
			for _, x := range nodes[1:] {
				if m, _ := x.table.Get("m0-a-0"); m.Live() {
					return false
				}
			}
			return true
		})
		t.Logf("leaving detected by all others after %v", took)
	})
}

// TestStartFromSnapshot checks that an instance that starts when no agent holds the
// first records any more loads a snapshot.
func TestStartFromSnapshot(t *testing.T) {
	simulate(t, func(t *testing.T, n *network) {
		nodes := startGrid(t, n, 1, 2, 2)
		rev := importBlocks(t, nodes[0], 30, 1000)
		waitUntil(t, "change in force", propagationBound, allAt(nodes, rev))
		fresh := n.run(t, "m0-a-9", "m0", "m0-a", 1)
		waitUntil(t, "state loaded at the new instance", 2*time.Second, func() bool { return fresh.log.Revision() == rev })
		if _, whole := fresh.log.Since(0, 1); whole {
			t.Error("the new instance has the records since revision 0, so it did not load a snapshot")
		}
		_, tr, _ := fresh.log.Current()
		if got := len(tr.BlockPaths()); got != 30 {
			t.Errorf("the new instance has %d paths of blocks, want 30", got)
		}
	})
}

// importBlocks commits the given number of changes at x, each with edits blocks of
// client addresses under one path, and returns the last revision.
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
