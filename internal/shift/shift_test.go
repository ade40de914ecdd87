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

func input(now time.Time, moves ...tree.Move) Input {
	return Input{Now: now, Moves: moves, MaxShare: 0.5, MaxGainPerMinute: 0.2, LastReport: func(string) time.Time { return now }}
}

func bulk(fraction float64, d time.Duration) tree.Move {
	return tree.Move{Path: "/moves/bulk", From: "muscat", To: "salalah", Start: t0, Duration: d, Fraction: fraction, Step: 0.05}
}

// TestAnyRunOfRequests checks that of any n requests in a row at most share*n+1
// are moved, whatever the gaps between them.
func TestAnyRunOfRequests(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(6)
	props := gopter.NewProperties(params)
	props.Property("spread evenly", prop.ForAll(func(fraction float64, gaps []int) bool {
		m, now := NewSplitter(), t0
		var moved []int
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			n := 0
			if m.Decide(input(now, bulk(fraction, time.Minute))) != "" {
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

func TestHeldWithoutReports(t *testing.T) {
	m := NewSplitter()
	seen := t0
	at := func(s int) float64 {
		now := t0.Add(time.Duration(s) * time.Second)
		in := input(now, bulk(0.4, 4*time.Minute))
		in.LastReport = func(string) time.Time { return seen }
		m.Decide(in)
		return m.Shares()["/moves/bulk"]
	}
	for s := range 60 {
		seen = t0.Add(time.Duration(s) * time.Second)
		at(s)
	}
	held := at(60)
	if held == 0 {
		t.Fatal("the move has not begun")
	}
	for s := 61; s < 200; s++ {
		if got := at(s); got > held+0.05 {
			t.Fatalf("advanced from %.2f to %.2f without a report", held, got)
		}
	}
	held = at(200)
	seen = t0.Add(201 * time.Second)
	if got := at(201); got > held+0.2/60*2+1e-9 {
		t.Errorf("jumped from %.3f to %.3f when reports came back", held, got)
	}
}

func TestEndedMoveStops(t *testing.T) {
	m := NewSplitter()
	for i := range 100 {
		m.Decide(input(t0.Add(time.Duration(i)*time.Second), bulk(0.4, time.Minute)))
	}
	if m.Decide(input(t0.Add(101 * time.Second))); len(m.Shares()) != 0 {
		t.Errorf("shares %v after the move was removed", m.Shares())
	}
}
