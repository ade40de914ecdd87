package logs

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedOutput is a writer that blocks until release is closed, then passes on what is written.
type blockedOutput struct {
	release chan struct{}
	got     chan string
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.got <- string(p)
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockWriter writes more lines than the buffer holds while the output
// blocks, and checks that the excess is dropped, counted and logged.
func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	const extra = 100
	out := &blockedOutput{make(chan struct{}), make(chan string, bufferLines+extra)}
	w := NewWriter(out)
	for i := range bufferLines + extra {
		fmt.Fprintf(w, "line %d\n", i)
	}
	dropped := w.Dropped()
	if dropped < extra-1 || dropped > extra {
		t.Errorf("%d lines dropped, want about 100", dropped)
	}
	close(out.release)
	if first := <-out.got; first != "line 0\n" {
		t.Errorf("first line %q, want line 0", first)
	}
	if note := <-out.got; !strings.Contains(note, fmt.Sprintf("count=%d", dropped)) {
		t.Errorf("want a report of %d dropped lines, got %q", dropped, note)
	}
}

// TestLinesAreWrittenWhole checks that every line reaches the output unbroken.
func TestLinesAreWrittenWhole(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for range 100 {
		fmt.Fprintln(w, "a line")
	}
	for w.pending.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := strings.Count(out.String(), "a line\n"); got != 100 {
		t.Errorf("%d whole lines written, want 100", got)
	}
}

// TestLimiterCountsSuppressedLines checks that each kind has a limit of its own, and that the
// suppressed lines are counted.
func TestLimiterCountsSuppressedLines(t *testing.T) {
	l := NewLimiter(1, 2)
	now := time.Unix(1_800_000_000, 0)
	allowed := 0
	for range 10 {
		if _, ok := l.Allow(now, "refused"); ok {
			allowed++
		}
	}
	if _, ok := l.Allow(now, "retried"); !ok || allowed != 2 {
		t.Errorf("%d lines of one kind allowed, want 2; another kind allowed: %v, want true", allowed, ok)
	}
	if suppressed, ok := l.Allow(now.Add(time.Second), "refused"); !ok || suppressed != 8 {
		t.Errorf("%d lines suppressed, want 8; allowed: %v, want true", suppressed, ok)
	}
}
