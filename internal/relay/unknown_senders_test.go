package relay

import (
	"slices"
	"testing"
	"time"
)

func TestStrangersAreTheFreshest(t *testing.T) {
	t0 := time.Unix(1_700_000_000, 0)
	s := NewUnknownSenders()
	for i, addr := range []string{"stale", "a", "b", "c", "d"} {
		s.RecordReport(addr, t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	s.RecordReport("a", t0.Add(time.Second))
	var got []string
	for _, src := range s.Sources(t0.Add(strangerFresh)) {
		got = append(got, src.Address)
	}
	if want := []string{"a", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("asked are %v, want %v", got, want)
	}
	if all := s.Sources(t0.Add(time.Hour)); len(all) > 0 {
		t.Errorf("%v are asked long after they were heard", all)
	}
}
