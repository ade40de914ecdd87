package shift

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/tree"
)

var t0 = time.Unix(1_800_000_000, 0)

// input returns an input with moves, in which all regions reported their load at now.
func input(now time.Time, moves ...tree.Move) Input {
	return Input{Now: now, Moves: moves, MaxShare: 0.5, MaxGainPerMinute: 0.2, LastReport: func(string) time.Time { return now }}
}

// bulkMove returns a move of a fraction of the requests that starts at t0 and advances
// over d.
func bulkMove(fraction float64, d time.Duration) tree.Move {
	return tree.Move{Path: "/moves/bulk", From: "muscat", To: "salalah", Start: t0, Duration: d, Fraction: fraction, Step: 0.05}
}

// TestMovesAreSpreadEvenly checks that at most share*n+1 of any n consecutive requests are
// moved, whatever the times between them.
func TestMovesAreSpreadEvenly(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(6)
	props := gopter.NewProperties(params)
	props.Property("at most share*n+1 of n consecutive requests are moved", prop.ForAll(func(fraction float64, gaps []int) bool {
		splitter, now := NewSplitter(), t0
		var moved []int
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			n := 0
			if splitter.Decide(input(now, bulkMove(fraction, time.Minute))) != "" {
				n = 1
			}
			moved = append(moved, n)
		}
		share := min(fraction, 0.5)
		for i := range moved {
			sum := 0
			for j := i; j < len(moved); j++ {
				sum += moved[j]
				if float64(sum) > share*float64(j-i+1)+1+1e-9 {
					return false
				}
			}
		}
		return true
	}, gen.Float64Range(0, 1), gen.SliceOfN(120, gen.IntRange(0, 2000))))
	props.TestingRun(t)
}

// TestMoveHoldsWithoutLoadReports checks that a move doesn't advance while the receiving
// region sends no load reports, and doesn't make up for the missed time when reports
// arrive again.
func TestMoveHoldsWithoutLoadReports(t *testing.T) {
	splitter := NewSplitter()
	lastReport := t0
	shareAt := func(s int) float64 {
		now := t0.Add(time.Duration(s) * time.Second)
		in := input(now, bulkMove(0.4, 4*time.Minute))
		in.LastReport = func(string) time.Time { return lastReport }
		splitter.Decide(in)
		return splitter.Shares()["/moves/bulk"]
	}
	for s := range 60 {
		lastReport = t0.Add(time.Duration(s) * time.Second)
		shareAt(s)
	}
	held := shareAt(60)
	if held == 0 {
		t.Fatal("the share is still 0 after 60 s")
	}
	for s := 61; s < 200; s++ {
		if got := shareAt(s); got > held+0.05 {
			t.Fatalf("share rose from %.2f to %.2f without load reports", held, got)
		}
	}
	held = shareAt(200)
	lastReport = t0.Add(201 * time.Second)
	if got := shareAt(201); got > held+0.2/60*2+1e-9 {
		t.Errorf("share jumped from %.3f to %.3f when load reports resumed", held, got)
	}
}

// TestRemovedMoveIsForgotten checks that a move that is no longer announced has no share.
func TestRemovedMoveIsForgotten(t *testing.T) {
	splitter := NewSplitter()
	for i := range 100 {
		splitter.Decide(input(t0.Add(time.Duration(i)*time.Second), bulkMove(0.4, time.Minute)))
	}
	if splitter.Decide(input(t0.Add(101 * time.Second))); len(splitter.Shares()) != 0 {
		t.Errorf("shares %v after the move was removed", splitter.Shares())
	}
}
