package relay

import (
	"slices"
	"testing"
	"time"
)

// TestUnknownSendersLatestFirst checks the order and the number of the sources, and that old
// senders are left out.
func TestUnknownSendersLatestFirst(t *testing.T) {
	t0 := time.Unix(1_700_000_000, 0)
	s := NewUnknownSenders()
	for i, addr := range []string{"stale", "a", "b", "c", "d"} {
		s.RecordReport(addr, t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	s.RecordReport("a", t0.Add(time.Second))
	var got []string
	for _, src := range s.Sources(t0.Add(senderMaxAge)) {
		got = append(got, src.Address)
	}
	if want := []string{"a", "d", "c"}; !slices.Equal(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	if all := s.Sources(t0.Add(time.Hour)); len(all) > 0 {
		t.Errorf("sources %v long after their last report, want none", all)
	}
}
