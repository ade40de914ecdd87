package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// stuck is an output whose reader reads nothing until it is released.
type stuck struct {
	release chan struct{}
	got     chan string
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.got <- string(p)
	return len(p), nil
}

// TestFullPipeHoldsUpNothing writes more than fits to an output that is stuck.
func TestFullPipeHoldsUpNothing(t *testing.T) {
	const extra = 100
	out := &stuck{make(chan struct{}), make(chan string, buffered+extra)}
	w := NewWriter(out)
	for i := range buffered + extra {
		fmt.Fprintf(w, "line %d\n", i)
	}
	dropped := w.Dropped()
	if dropped < extra-1 || dropped > extra {
		t.Errorf("%d lines dropped", dropped)
	}
	close(out.release)
	if first := <-out.got; first != "line 0\n" {
		t.Errorf("first line %q", first)
	}
	if note := <-out.got; !strings.Contains(note, fmt.Sprintf("count=%d", dropped)) {
		t.Errorf("no word of %d dropped lines: %q", dropped, note)
	}
}

func TestLinesAreWhole(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for range 100 {
		fmt.Fprintln(w, "a line")
	}
	for w.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := strings.Count(out.String(), "a line\n"); got != 100 {
		t.Errorf("%d lines", got)
	}
}

func TestLimiterCountsWhatItLeavesOut(t *testing.T) {
	l := NewLimiter(1, 2)
	now := time.Unix(1_800_000_000, 0)
	through := 0
	for range 10 {
		if _, ok := l.Allow(now, "refused"); ok {
			through++
		}
	}
	if _, ok := l.Allow(now, "retried"); !ok || through != 2 {
		t.Errorf("%d lines of one kind through, another kind: %v", through, ok)
	}
	if left, ok := l.Allow(now.Add(time.Second), "refused"); !ok || left != 8 {
		t.Errorf("left out %d, through %v", left, ok)
	}
}
