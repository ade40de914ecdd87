package forward

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// countingConn counts the bytes written to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return len(p), nil
}

// TestNothingIsWrittenAfterTheSeal guards against bytes that leave after a send was given up as not
// written. Several goroutines write while the verdict is given.
func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	sealed := 0
	for i := range 2000 {
		counted := new(countingConn)
		c := &trackedConn{Conn: counted}
		w := &writeTracker{conn: c}
		c.reset(func() bool { return true })
		var writers sync.WaitGroup
		start := make(chan struct{})
		for range 3 {
			writers.Go(func() {
				<-start
				_, _ = c.Write([]byte("head"))
			})
		}
		close(start)
		for range i % 8 {
			runtime.Gosched()
		}
		notRun := w.nothingWritten()
		writers.Wait()
		_, _ = c.Write([]byte("late"))
		if n := counted.written.Load(); notRun && n > 0 {
			t.Fatalf("%d bytes left after the verdict", n)
		}
		if notRun {
			sealed++
		}
	}
	t.Logf("%d of 2000 sends were given up before the first write", sealed)
}
