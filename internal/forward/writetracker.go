package forward

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errSealed is what a write to a sealed connection returns.
var errSealed = errors.New("forward: request given up before it was written")

// countedConn knows whether anything was written to it since a request took it.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	sealed  bool
	// connect is how long the connection took to be made.
	connect time.Duration
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin is called when a request takes the connection.
func (c *countedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal reports whether nothing was written since begin, and sees to it that
// nothing will be.
func (c *countedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written {
		return false
	}
	c.sealed = true
	return true
}

// sendWatch follows one attempt to tell whether any of it was written.
type sendWatch struct {
	mu   sync.Mutex
	conn *countedConn
	// blind is set if the connection cannot tell what was written.
	blind bool
	// reused is set if the connection had served a request before.
	reused bool
}

func (s *sendWatch) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendWatch) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*countedConn)
	if !ok {
		s.blind = true
		return
	}
	c.begin()
	s.conn = c
	s.reused = info.Reused
}

// connectTime returns how long the connection took to be made, or 0 if it was
// there before.
func (s *sendWatch) connectTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || s.reused {
		return 0
	}
	return s.conn.connect
}

// nothingSent reports whether the attempt wrote nothing, and sees to it that it
// will not. It is called after RoundTrip has returned an error.
func (s *sendWatch) nothingSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blind {
		return false
	}
	return s.conn == nil || s.conn.seal()
}
