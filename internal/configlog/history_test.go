package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/standin"
)

// TestGeneratedHistories runs concurrent writers against a store whose calls
// fail at random, before or after their effect, or are delayed. An accepted
// change must be in the log once, a refused change never, a change with unknown
// outcome at most once. Revisions must never fall, and all logs must be equal
// once the faults have ended.
func TestGeneratedHistories(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("accepted once, refused never", prop.ForAll(func(seed uint64, failing int) string {
		fault := ""
		synctest.Test(t, func(t *testing.T) { fault = runHistory(t, seed, failing) })
		return fault
	}, gen.UInt64(), gen.IntRange(0, 60)))
	props.TestingRun(t)
}

// runHistory commits changes by several writers while the given percentage of
// store calls fails. It returns the violated condition, or "".
func runHistory(t *testing.T, seed uint64, failing int) string {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := standin.NewStore()
	s.SetFault(func(standin.Op, string) standin.Fault {
		if rnd.IntN(100) >= failing {
			return standin.Fault{}
		}
		return [...]standin.Fault{{Down: true}, {LoseReply: true}, {Delay: time.Duration(rnd.IntN(4000)) * time.Millisecond}}[rnd.IntN(3)]
	})
	const writers, changes = 4, 6
	results := make([]Result, writers*changes)
	logs := make([]*Log, writers)
	var wg sync.WaitGroup
	for w := range writers {
		op := newWriter(s)
		logs[w] = op.log
		wg.Go(func() {
			for i := range changes {
				before := op.log.Revision()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				results[w*changes+i] = op.c.Commit(ctx, deadlineChange(fmt.Sprint(w*changes+i), fmt.Sprint("s", i%2), "2s"))
				cancel()
				if op.log.Revision() < before {
					t.Errorf("revision fell from %d to %d", before, op.log.Revision())
				}
			}
		})
	}
	wg.Wait()
	// Delayed store calls may still take effect; wait for them.
	time.Sleep(time.Minute)
	s.SetFault(nil)
	seen, full := occurrences(t, s)
	for i, r := range results {
		n := seen[fmt.Sprint(i)]
		if n > 1 || r.Outcome == Accepted && n != 1 || r.Outcome == Refused && n != 0 {
			return fmt.Sprintf("change %d: %s, in the log %d times", i, r.Outcome, n)
		}
	}
	for _, log := range logs {
		if err := NewReader(s, log).CatchUp(t.Context()); err != nil {
			return err.Error()
		}
		if !sameState(log, full) {
			return "logs differ after the faults ended"
		}
	}
	return ""
}

func FuzzDecode(f *testing.F) {
	rec := Record{Change: deadlineChange("c1", "stock", "2s"), Revision: 7, Time: time.UnixMilli(1)}
	b, _ := rec.Encode()
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		log := NewLog()
		if rec, err := Decode(b); err == nil {
			_, _ = log.Append(rec)
		}
		_ = applyHead(log, b)
	})
}
