// Package logs provides a non-blocking log writer and a rate limiter for log lines.
//
// A Writer passes lines through a bounded buffer to one goroutine that writes them to the output.
// If the reader of the output is too slow, lines are dropped, and their number is logged once the
// output accepts lines again. A Limiter limits the rate of lines of each kind.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferLines is the capacity of the buffer in lines; at 200 bytes per line about 400 KB.
	bufferLines = 2048
	// flushTimeout is how long Flush waits for the buffer to be written.
	flushTimeout = 200 * time.Millisecond
	// flushPollInterval is how often Flush checks whether the buffer has been written.
	flushPollInterval = 5 * time.Millisecond
)

// Writer is an io.Writer that never blocks and drops lines if its buffer is full. It is safe for
// concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// pending is the number of lines that are buffered or being written.
	pending atomic.Int64
	// dropped is the number of dropped lines not yet logged.
	dropped atomic.Int64
	// totalDropped is the number of lines dropped since the start.
	totalDropped atomic.Int64
}

// NewWriter returns a Writer and starts its goroutine, which writes to out and never ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferLines)}
	go w.run()
	return w
}

// Write implements io.Writer. It buffers or drops one complete line, and always returns
// len(line) and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
		w.totalDropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.totalDropped.Load() }

// Flush waits until all buffered lines are written, for at most flushTimeout.
func (w *Writer) Flush() {
	for deadline := time.Now().Add(flushTimeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// run writes the buffered lines. Errors of the output are ignored, because there is no other place
// to report them, and lines that the output rejects are lost to its reader in any case.
func (w *Writer) run() {
	for line := range w.lines {
		_, _ = w.out.Write(line)
		w.pending.Add(-1)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "W%s \"log lines dropped\" count=%d\n", time.Now().Format("0102 15:04:05.000000"), n)
		}
	}
}

// maxLoggedIDs is the maximum number of IDs in a log line; ten IDs of 20 bytes keep the line about
// as short as others.
const maxLoggedIDs = 10

// TruncateIDs returns the first IDs of a list, at most maxLoggedIDs, for a log line.
func TruncateIDs(ids []string) []string { return ids[:min(maxLoggedIDs, len(ids))] }
