package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"time"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("forward: request given up before it was written")

// errWithdrawn is returned by the first write of a request that its upstream no longer accepts.
var errWithdrawn = errors.New("forward: upstream no longer accepts requests")

// errBrokenOff means that a connection did not end in order.
var errBrokenOff = errors.New("forward: connection broke off")

// trackedConn records whether anything was written since the connection was assigned to a
// request, and whether a write got the error of a reset.
type trackedConn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	sealed  bool
	// requests is the number of requests sent on the connection. Only the request that has taken the
	// connection uses it.
	requests int
	// connectTime is the time it took to open the connection.
	connectTime time.Duration
	// accepts is called before the first write of a request, which is not made if the result is
	// false; nil means that it is always made.
	accepts func() bool
	// writing is held during writes, and guards broken.
	writing sync.Mutex
	// broken is the error of the first write that failed.
	broken error
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// endOfStream ends writes by a deadline.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && c.broken == nil {
		c.broken = err
	}
	return n, err
}

// endOfStream is called when a read has found the end of the stream. It returns io.EOF if the upstream has closed
// the connection in order, and an error otherwise. The kernel reports a reset or a timeout only once: after a
// write got the error, a read finds the end of the stream. Later writes fail.
func (c *trackedConn) endOfStream() error {
	// A write in progress may have got the error. It is of no use otherwise, since nothing more can be read.
	// No deadline can be set on a connection that is closed, which ends writes as well.
	_ = c.SetWriteDeadline(pastTime)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return fmt.Errorf("%w: %w", errBrokenOff, c.broken)
	}
	return io.EOF
}

// beginWrite returns an error if the request must not be written. Time may have passed since the
// upstream was picked, for example while a connection was opened or the caller's body was read.
func (c *trackedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.sealed:
		return errSealed
	case !c.written && c.accepts != nil && !c.accepts():
		c.sealed = true
		return errWithdrawn
	}
	c.written = true
	return nil
}

// reset marks the connection as unwritten when a request takes it.
func (c *trackedConn) reset(accepts func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
	c.accepts = accepts
}

// seal reports whether nothing was written since reset. If so, it makes all later writes fail.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return false
	}
	c.sealed = true
	return true
}

// writeTracker records whether an attempt wrote anything to its connection.
type writeTracker struct {
	mu   sync.Mutex
	conn *trackedConn
	// untracked is set if the connection is not a trackedConn.
	untracked bool
	// reused is set if the connection served a request before.
	reused bool
	// ordinal is the number of requests sent on the connection up to this one; 0 if that is not known.
	ordinal int
	// accepts reports whether the upstream still accepts the request; nil means that it does.
	accepts func() bool
}

func (w *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		w.untracked = true
		return
	}
	c.reset(w.accepts)
	w.conn = c
	w.reused = info.Reused
	w.ordinal = c.requests + 1
}

// connection returns the local address of the attempt's connection and the number of requests sent on it
// up to this attempt's. They are empty and 0 if the connection is not known.
func (w *writeTracker) connection() (local string, ordinal int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return "", 0
	}
	return w.conn.LocalAddr().String(), w.ordinal
}

// firstOnConnection reports whether the attempt's request was certainly the first one on its connection.
func (w *writeTracker) firstOnConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ordinal == 1
}

// connectTime returns the time it took to open the connection, or 0 for a reused one.
func (w *writeTracker) connectTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil || w.reused {
		return 0
	}
	return w.conn.connectTime
}

// newConnection reports whether the attempt used no connection that had served a request before.
func (w *writeTracker) newConnection() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.reused
}

// nothingWritten reports whether the attempt wrote nothing. If so, it makes later writes fail.
// It is called after RoundTrip returned an error.
func (w *writeTracker) nothingWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.untracked {
		return false
	}
	return w.conn == nil || w.conn.seal()
}
