package configlog

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// writer is a Committer with its own log, as every agent has.
type writer struct {
	log *Log
	c   *Committer
}

// newWriter returns a writer to s with an empty log.
func newWriter(s coordination.Store) *writer {
	log := NewLog()
	return &writer{log, NewCommitter(s, log, time.Now)}
}

// commit commits a change within five seconds.
func (w *writer) commit(t testing.TB, c Change) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return w.c.Commit(ctx, c)
}

// deadlineChange returns a change that sets the deadline of a service.
func deadlineChange(id, service, value string) Change {
	return Change{ID: id, Author: "op", Edits: []tree.Edit{{Path: "/services/" + service, Key: tree.KeyDeadline, Value: value}}}
}

// occurrences reads the whole log from the store. It returns how often each
// change ID was read and the resulting log.
func occurrences(t testing.TB, s coordination.Store) (map[string]int, *Log) {
	t.Helper()
	log := NewLog()
	seen := make(map[string]int)
	for {
		before := log.Revision()
		_, more, err := readNext(t.Context(), s, log)
		if err != nil {
			t.Fatal(err)
		}
		if !more {
			return seen, log
		}
		if log.Revision() == before+1 {
			seen[log.History(1)[0].ID]++
		}
	}
}

// injectOneFault applies a fault to the first call of an operation on a key with
// the prefix.
func injectOneFault(s *standin.Store, op standin.Op, prefix string, f standin.Fault) {
	done := false
	s.SetFault(func(o standin.Op, key string) standin.Fault {
		if done || o != op || !strings.HasPrefix(key, prefix) {
			return standin.Fault{}
		}
		done = true
		return f
	})
}

func TestCommitSurvivesOneLostCall(t *testing.T) {
	faults := map[string]standin.Fault{
		"reply lost after effect":     {LoseReply: true},
		"reply lost without effect":   {Down: true},
		"slow":                        {Delay: 2 * time.Second},
		"slow and reply lost":         {Delay: time.Second, LoseReply: true},
		"slower within commit's time": {Delay: 3 * time.Second},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				injectOneFault(s, standin.OpCompareAndSwap, "log/", f)
				r := newWriter(s).commit(t, deadlineChange("c1", "stock", "2s"))
				if r.Outcome != Accepted || r.Revision != 1 {
					t.Fatalf("commit = %+v", r)
				}
				if seen, _ := occurrences(t, s); seen["c1"] != 1 {
					t.Fatalf("log holds the change %d times", seen["c1"])
				}
			})
		})
	}
}

// TestDelayedSwapIsNotReportedRefused loses the reply to the swap and fails all
// reads after it until the commit times out. The change may be in the log, so
// the outcome must be unknown rather than refused, and sending the change again
// must not apply it twice.
func TestDelayedSwapIsNotReportedRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetFault(func(op standin.Op, key string) standin.Fault {
			return standin.Fault{LoseReply: op == standin.OpCompareAndSwap, Down: op == standin.OpGet && s.CallCount(standin.OpCompareAndSwap) > 0}
		})
		w := newWriter(s)
		if r := w.commit(t, deadlineChange("c1", "stock", "2s")); r.Outcome != Unknown {
			t.Fatalf("commit = %+v, want unknown", r)
		}
		s.SetFault(nil)
		for _, again := range []*writer{w, newWriter(s)} {
			if r := again.commit(t, deadlineChange("c1", "stock", "2s")); r.Outcome != Accepted || r.Revision != 1 {
				t.Fatalf("second commit = %+v", r)
			}
		}
	})
}

func TestUnavailableStoreRefusesWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		w := newWriter(s)
		w.commit(t, deadlineChange("c1", "stock", "2s"))
		s.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
		r := w.commit(t, deadlineChange("c2", "stock", "3s"))
		if r.Outcome != Refused || r.Refusal.Kind != RefusedUnavailable || r.Refusal.RetryAfter <= 0 {
			t.Fatalf("commit = %+v", r)
		}
		s.SetFault(nil)
		if seen, _ := occurrences(t, s); seen["c2"] != 0 {
			t.Fatal("the refused change is in the log")
		}
	})
}

// TestRacingOperators has several operators change the same path from the same
// base revision at the same time, then different paths.
func TestRacingOperators(t *testing.T) {
	for _, n := range []int{2, 10} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				newWriter(s).commit(t, deadlineChange("first", "stock", "1s"))
				same := commitConcurrently(t, s, n, func(i int) Change {
					c := deadlineChange(fmt.Sprintf("same-%d", i), "stock", "2s")
					c.Base = 1
					return c
				})
				if same[Accepted] != 1 || same[Refused] != n-1 {
					t.Errorf("same path: %v, want 1 accepted and the rest refused", same)
				}
				other := commitConcurrently(t, s, n, func(i int) Change {
					return deadlineChange(fmt.Sprintf("other-%d", i), fmt.Sprintf("s%d", i), "2s")
				})
				if other[Accepted] != n {
					t.Errorf("different paths: %v, want all accepted", other)
				}
			})
		})
	}
}

// commitConcurrently commits n changes, each by its own writer, and counts the
// outcomes.
func commitConcurrently(t *testing.T, s coordination.Store, n int, change func(i int) Change) map[Outcome]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := make(map[Outcome]int)
	for i := range n {
		w := newWriter(s)
		wg.Go(func() {
			r := w.commit(t, change(i))
			mu.Lock()
			defer mu.Unlock()
			got[r.Outcome]++
		})
	}
	wg.Wait()
	return got
}

// TestRacingDrainsExceedLimit commits two drains at the same time, each allowed
// alone, that together exceed the limit of drained failure domains.
func TestRacingDrainsExceedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		got := commitConcurrently(t, s, 2, func(i int) Change {
			path := fmt.Sprintf("/drains/d%d", i)
			return Change{ID: path, Author: "op", Edits: []tree.Edit{
				{Path: path, Key: tree.KeyRegion, Value: "sohar"},
				{Path: path, Key: tree.KeyDomain, Value: fmt.Sprintf("sohar-%d", i)},
				{Path: path, Key: tree.KeyStart, Value: "2026-12-02T22:00:00Z"},
			}}
		})
		if got[Accepted] != 1 || got[Refused] != 1 {
			t.Fatalf("%v, want one accepted and one refused", got)
		}
	})
}

// TestWriterPausedForFullRing delays one writer's swap while other writers
// overwrite every slot of the ring. The late swap must not be accepted at its
// old revision: readers are past it and would never apply the change.
func TestWriterPausedForFullRing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		injectOneFault(s, standin.OpCompareAndSwap, "log/", standin.Fault{Delay: 24 * time.Hour})
		late := newWriter(s)
		var r Result
		var wg sync.WaitGroup
		wg.Go(func() { r = late.c.Commit(context.Background(), deadlineChange("late", "stock", "9s")) })
		synctest.Wait()
		others := newWriter(s)
		const commits = RingSize + 100
		for i := range commits {
			if got := others.commit(t, deadlineChange(fmt.Sprint("c", i), "orders", "2s")); got.Outcome != Accepted {
				t.Fatalf("commit %d = %+v", i, got)
			}
		}
		wg.Wait()
		if r.Outcome != Accepted || r.Revision != commits+1 {
			t.Fatalf("late commit = %+v, want accepted at %d", r, commits+1)
		}
		if err := NewReader(s, others.log).CatchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, tr, _ := others.log.Current()
		if got := tr.String("/services/stock", tree.KeyDeadline); got != "9s" {
			t.Errorf("late change is not applied: deadline %s", got)
		}
	})
}

// TestNewReaderStartsFromSnapshot starts a reader after the oldest records of
// the ring were overwritten.
func TestNewReaderStartsFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		w := newWriter(s)
		for i := range RingSize + 300 {
			w.commit(t, deadlineChange(fmt.Sprint("c", i), fmt.Sprint("s", i%50), fmt.Sprintf("%dms", 1000+i)))
		}
		fresh := NewLog()
		if err := NewReader(s, fresh).Bootstrap(t.Context()); err != nil {
			t.Fatal(err)
		}
		if fresh.Revision() != w.log.Revision() {
			t.Fatalf("new reader at revision %d, log at %d", fresh.Revision(), w.log.Revision())
		}
		if !sameState(fresh, w.log) {
			t.Error("the new reader's state differs from the log")
		}
		// The snapshot includes the IDs of older changes.
		again := &writer{fresh, NewCommitter(s, fresh, time.Now)}
		if r := again.commit(t, deadlineChange(fmt.Sprint("c", RingSize), "s1", "1s")); r.Outcome != Accepted || r.Revision != RingSize+1 {
			t.Errorf("repeated change = %+v", r)
		}
	})
}

// sameState reports whether two logs have equal snapshots.
func sameState(a, b *Log) bool {
	return slices.Equal(partTexts(a), partTexts(b))
}

// partTexts returns the parts of the log's snapshot as texts.
func partTexts(l *Log) []string {
	var out []string
	for p := range l.Snapshot().Parts(nil) {
		out = append(out, p.String())
	}
	return out
}

// TestHeadMissing reads a record whose writer crashed before it updated the head.
func TestHeadMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		s.SetFault(func(_ standin.Op, key string) standin.Fault { return standin.Fault{Down: key == headKey} })
		newWriter(s).commit(t, deadlineChange("c1", "stock", "2s"))
		s.SetFault(nil)
		log := NewLog()
		r := NewReader(s, log)
		if err := r.WatchHead(t.Context(), time.Second); err != nil {
			t.Fatal(err)
		}
		if err := r.CatchUp(t.Context()); err != nil || log.Revision() != 1 {
			t.Fatalf("at revision %d, %v", log.Revision(), err)
		}
	})
}

// TestCommitRefusedWhenStoreIsBehind commits to a store that has lost accepted
// records, as after a restore from an old backup. The writer's log must not fall
// back to an older revision, and nothing may be written after the gap.
func TestCommitRefusedWhenStoreIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		w := newWriter(s)
		for i := range RingSize + 10 {
			w.commit(t, deadlineChange(fmt.Sprint("c", i), "stock", "2s"))
		}
		restored := standin.NewStore()
		behind := &writer{w.log, NewCommitter(restored, w.log, time.Now)}
		before := w.log.Revision()
		r := behind.commit(t, deadlineChange("x", "stock", "3s"))
		if r.Outcome != Refused || w.log.Revision() != before {
			t.Fatalf("commit = %+v, revision %d", r, w.log.Revision())
		}
	})
}

// TestPartsWithAllPathsSkipped checks that a snapshot without settings and
// changes still carries its revision.
func TestPartsWithAllPathsSkipped(t *testing.T) {
	log := NewLog()
	rec := Record{Change: deadlineChange("c1", "stock", "2s"), Revision: 1}
	if _, err := log.Append(rec); err != nil {
		t.Fatal(err)
	}
	s := log.Snapshot()
	s.Changes = nil
	var a Assembler
	for p := range s.Parts(func(string) bool { return true }) {
		if err := a.Add(p); err != nil {
			t.Fatal(err)
		}
	}
	got, err := a.Snapshot()
	if err != nil || got.Revision != 1 {
		t.Errorf("snapshot %+v, %v", got, err)
	}
}

// TestRevisionNeverFalls applies older records, an older snapshot and a record
// after a gap to a log. None of them may change its state.
func TestRevisionNeverFalls(t *testing.T) {
	log := NewLog()
	var records []Record
	for i := range 5 {
		r := Record{Change: deadlineChange(fmt.Sprint("c", i), "stock", fmt.Sprintf("%ds", i+1)), Revision: uint64(i + 1)}
		records = append(records, r)
	}
	if _, err := log.Append(records[:3]...); err != nil {
		t.Fatal(err)
	}
	old := log.Snapshot()
	if _, err := log.Append(records[3:]...); err != nil {
		t.Fatal(err)
	}
	if log.Restore(old) {
		t.Error("an older snapshot was restored")
	}
	if n, err := log.Append(records[:2]...); n != 0 || err != nil {
		t.Errorf("%d older records were applied, %v", n, err)
	}
	if _, err := log.Append(Record{Change: deadlineChange("far", "stock", "9s"), Revision: 9}); err == nil {
		t.Error("a record after a gap was applied")
	}
	revision, tr, _ := log.Current()
	if got := tr.String("/services/stock", tree.KeyDeadline); revision != 5 || got != "5s" {
		t.Errorf("revision %d, deadline %s", revision, got)
	}
}

// TestUnsetOfMalformedBlock checks that a change that unsets a malformed block is refused
// and leaves the revision as it was.
func TestUnsetOfMalformedBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWriter(standin.NewStore())
		edit := tree.Edit{Path: "/blocks/b", Key: "10.0.0.1/8", Unset: true}
		res := w.commit(t, Change{ID: "unset", Author: "op", Edits: []tree.Edit{edit}})
		if res.Outcome != Refused || res.Refusal == nil || res.Refusal.Kind != RefusedInvalid {
			t.Fatalf("%+v, want %s as %s", res, Refused, RefusedInvalid)
		}
		faults := strings.Join(res.Refusal.Faults, "; ")
		for _, want := range []string{edit.Path, edit.Key, "allowed: prefixes"} {
			if !strings.Contains(faults, want) {
				t.Errorf("faults %q do not name %q", faults, want)
			}
		}
		if r := w.log.Revision(); r != 0 {
			t.Errorf("revision %d, want 0", r)
		}
	})
}
