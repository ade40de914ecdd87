package ratelimit

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

// at returns the time that is a number of milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// TestOvertakenResponsesAreIgnored observes responses in another order than they were sent in.
func TestOvertakenResponsesAreIgnored(t *testing.T) {
	type response struct {
		perSecond  float64
		sent, read int
	}
	for _, tt := range []struct {
		name      string
		responses []response
		want      float64
	}{
		{"announced", []response{{5, 0, 10}}, 5},
		{"ended", []response{{5, 0, 10}, {Unlimited, 20, 30}}, Unlimited},
		{"an older response does not end it", []response{{5, 5, 10}, {Unlimited, 0, 30}}, 5},
		{"an older response does not restore it", []response{{5, 0, 10}, {Unlimited, 20, 30}, {5, 5, 40}}, Unlimited},
		{"an older response does not raise it", []response{{5, 0, 10}, {5, 20, 60}, {9, 30, 70}}, 5},
		{"raised", []response{{5, 0, 10}, {9, 20, 30}}, 9},
		{"lowered by a response in flight", []response{{5, 0, 10}, {5, 15, 60}, {2, 20, 70}}, 2},
		{"zero", []response{{0, 0, 10}}, 0},
	} {
		r := new(Register)
		for _, a := range tt.responses {
			r.Observe(a.perSecond, at(a.sent), at(a.read))
		}
		if got := r.PerSecond(); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestRegistersConverge checks that registers which observed different limits converge when they
// are merged in any order.
func TestRegistersConverge(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("same value and version", prop.ForAll(func(limits []int, order []int) bool {
		registers := make([]Register, 4)
		for i, limit := range limits {
			perSecond := float64(limit)
			if limit == 0 {
				perSecond = Unlimited
			}
			registers[i%len(registers)].Observe(perSecond, at(10*i), at(10*i+5))
		}
		for _, o := range order {
			from, to := o%len(registers), o/len(registers)%len(registers)
			registers[to].Merge(registers[from].PerSecond(), registers[from].Version(), at(1000))
		}
		for range registers {
			for from := range registers {
				for to := range registers {
					registers[to].Merge(registers[from].PerSecond(), registers[from].Version(), at(2000))
				}
			}
		}
		for i := range registers {
			if registers[i].PerSecond() != registers[0].PerSecond() || registers[i].Version() != registers[0].Version() {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 3)), gen.SliceOf(gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

func TestMergeResults(t *testing.T) {
	r := new(Register)
	r.Observe(5, at(0), at(10))
	r.Observe(Unlimited, at(20), at(30))
	if got := r.Merge(5, 1, at(40)); got != MergeStale || r.Limited() {
		t.Errorf("merging an earlier version: %v, limited %v", got, r.Limited())
	}
	if got := r.Merge(4, 2, at(50)); got != MergeAdopted || r.PerSecond() != 4 {
		t.Errorf("merging a lower limit of the same version: %v, %v", got, r.PerSecond())
	}
	if got := r.Merge(4, 2, at(60)); got != MergeSame {
		t.Errorf("merging the same value: %v", got)
	}
}

func TestRoundIsIdempotent(t *testing.T) {
	for _, v := range []float64{0, 0.1, 0.0004, 6.2, 2.3456789, 1e9} {
		if r := Round(v); Round(r) != r {
			t.Errorf("Round(%v) = %v, rounded again %v", v, r, Round(r))
		}
	}
	if Round(2e9) != Unlimited {
		t.Error("a limit above maxPerSecond is not rounded to Unlimited")
	}
}
