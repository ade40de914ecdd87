package forward

import (
	"fmt"
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/model"
)

// TestSplitKeepsToWeights sends requests for few or many objects through a split. No service
// may deviate from its weight by more than a few requests.
func TestSplitKeepsToWeights(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(5)
	props := gopter.NewProperties(params)
	props.Property("services keep to their weights", prop.ForAll(func(a, b, objects int) string {
		r := &model.Route{Name: "r", Services: []model.WeightedService{{Service: "x", Weight: float64(a)}, {Service: "y", Weight: float64(b)}}}
		s := newSplits()
		got := make(map[string]int)
		for i := 1; i <= 500; i++ {
			got[s.choose(r, fmt.Sprint("o", i*7919%objects))]++
			want := float64(i) * float64(a) / float64(a+b)
			if off := math.Abs(float64(got["x"]) - want); off > maxCredit+1 {
				return fmt.Sprintf("after %d requests service x is %.1f requests off its weight", i, off)
			}
		}
		return ""
	}, gen.IntRange(0, 100), gen.IntRange(1, 100), gen.IntRange(1, 60)))
	props.TestingRun(t)
}

// TestSplitKeepsObjectsTogether counts how often an object changes its service.
func TestSplitKeepsObjectsTogether(t *testing.T) {
	r := &model.Route{Name: "r", Services: []model.WeightedService{{Service: "x", Weight: 50}, {Service: "y", Weight: 50}}}
	s := newSplits()
	last := make(map[string]string)
	moved := 0
	const requests, objects = 2000, 40
	for i := range requests {
		o := fmt.Sprint("o", i*7919%objects)
		got := s.choose(r, o)
		if last[o] != "" && last[o] != got {
			moved++
		}
		last[o] = got
	}
	if moved > requests/3 {
		t.Errorf("%d of %d requests went to another service than the previous request for their object", moved, requests)
	}
}
