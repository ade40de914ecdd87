package verdict

import (
	"errors"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestParseRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		got, err := Parse(v.String())
		if err != nil || got != v {
			t.Errorf("Parse(%q) = %v, %v", v.String(), got, err)
		}
	}
	if _, err := Parse("maybe"); err == nil {
		t.Error("Parse accepted an unknown string")
	}
}

func TestPlainErrorIsMayHaveRun(t *testing.T) {
	if got := Of(errors.New("boom")); got != MayHaveRun {
		t.Errorf("Of(plain) = %v", got)
	}
	wrapped := errors.Join(errors.New("x"), New(NotRun, "busy", nil))
	if got := Of(wrapped); got != NotRun {
		t.Errorf("Of(wrapped) = %v", got)
	}
}

// TestJoinKeepsPossibleRuns checks for sequences of attempts that the joined verdict is NotRun
// only if all attempts have NotRun.
func TestJoinKeepsPossibleRuns(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	props := gopter.NewProperties(params)
	verdicts := gen.SliceOf(gen.UInt8Range(0, 2))
	props.Property("not-run only if all attempts are", prop.ForAll(func(vs []uint8) bool {
		joined, allNotRun := NotRun, true
		for _, v := range vs {
			joined = Join(joined, Verdict(v))
			allNotRun = allNotRun && Verdict(v) == NotRun
		}
		return (joined == NotRun) == allNotRun
	}, verdicts))
	props.TestingRun(t)
}
