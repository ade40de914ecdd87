// Package logs writes structured lines without ever holding up who writes them.
//
// Lines go through a bounded buffer to one goroutine that writes them out. If the
// reader of the output does not keep up, lines are dropped and their number is
// logged once it does. A Limiter bounds how many lines of each kind there are.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// buffered is how many lines wait to be written; at 200 bytes each some 400 KB.
	buffered = 2048
	// flushWait is how long Flush waits for the buffer to empty.
	flushWait = 200 * time.Millisecond
	pollEvery = 5 * time.Millisecond
)

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	pending atomic.Int64
	dropped atomic.Int64
	total   atomic.Int64
}

// NewWriter returns a Writer that writes to out from a goroutine of its own.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, buffered)}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one whole line and always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
		w.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Flush waits for a short time until everything is written.
func (w *Writer) Flush() {
	for end := time.Now().Add(flushWait); w.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(pollEvery)
	}
}

// run writes the lines. An error of the output has nowhere to be told; the lines
// that it swallows are lost to whoever reads the output anyway.
func (w *Writer) run() {
	for line := range w.lines {
		_, _ = w.out.Write(line)
		w.pending.Add(-1)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "W%s \"log lines dropped\" count=%d\n", time.Now().Format("0102 15:04:05.000000"), n)
		}
	}
}

// shownIDs is how many ids a line names; ten of 20 bytes keep it as short as others.
const shownIDs = 10

// TruncateIDs returns the first ids of a list, as many as a line may name.
func TruncateIDs(ids []string) []string { return ids[:min(shownIDs, len(ids))] }
