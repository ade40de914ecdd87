package pipeline

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// phase is what net/http does on a connection.
type phase int

const (
	// idle means that net/http waits for a request or reads its head.
	idle phase = iota
	// headRead means that net/http has the head of a request, which no handler serves yet.
	headRead
	// exclusive means that a handler serves a request, with which no other may be served.
	exclusive
	// shared means that a handler serves a request that others may be served with.
	shared
	// finishing means that the handler has returned. The caller may have the whole answer, so that
	// a further request is not early.
	finishing
	// opaque means that it is not known which bytes belong to which request. It lasts until the
	// connection ends, and no request is served side by side.
	opaque
)

// conn is an accepted connection. net/http never gets bytes of a later request together with those
// of an earlier one, unless the phase is opaque, and never before the earlier one was answered.
type conn struct {
	net.Conn
	server *Server
	heads  headMemory

	mu sync.Mutex
	// changed is signalled after each change of the fields below.
	changed *sync.Cond
	phase   phase
	head    headScanner
	// bodyLeft is the number of bytes of the request's body that net/http has not read.
	bodyLeft int64
	// ahead holds bytes that were read before their time.
	ahead []byte
	// takenOver is set once the pump reads the connection.
	takenOver bool
	// readErr is the error of the pump. The caller has left unless the connection was idle.
	readErr error
	// gone is set if the caller left while requests were in progress.
	gone bool
	// lanes are the open lanes in the order of their requests.
	lanes []*lane
	// blocked is set once the next request in ahead can not or must not be served in a lane.
	blocked bool
	// last is set once the connection closes after the answers to the requests in progress.
	last bool
	// released is set once net/http has closed the connection, closed once it is closed.
	released, closed bool
	// waiting is the size in bytes of the answers that wait for their turn.
	waiting int64
	// readDeadline is the deadline that net/http has set, at the time deadlineSet. deadlineTimer
	// signals changed at the deadline of a connection that was taken over.
	readDeadline, deadlineSet time.Time
	deadlineTimer             *time.Timer
}

func newConn(c net.Conn, s *Server) *conn {
	out := &conn{Conn: c, server: s}
	out.heads.total = &s.heads
	out.heads.begin()
	out.changed = sync.NewCond(&out.mu)
	return out
}

func (c *conn) read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := c.inProgress()
	switch {
	case c.takenOver:
		return c.await(p)
	case len(c.ahead) > 0 && later:
		c.readEarly(nil)
		return c.await(p)
	case len(c.ahead) > 0:
		return c.take(p), nil
	}
	n, err := c.readThrough(p)
	switch {
	case n > 0 && later:
		c.readEarly(p[:n])
		return c.await(p)
	case c.phase == idle:
		n = c.splitHead(p[:n])
	}
	return n, err
}

// readThrough reads from the caller. The lock is not held meanwhile.
func (c *conn) readThrough(p []byte) (int, error) {
	body := c.bodyLeft > 0
	if body {
		p = p[:min(int64(len(p)), c.bodyLeft)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if body {
		c.bodyLeft -= int64(n)
	}
	return n, err
}

// readEarly keeps bytes that came before net/http can have them.
func (c *conn) readEarly(p []byte) {
	c.ahead = append(c.ahead, p...)
	if c.phase != finishing {
		c.takeOver()
	}
}

// inProgress reports whether net/http has the whole of a request that is not answered yet.
func (c *conn) inProgress() bool {
	switch c.phase {
	case headRead, shared, exclusive, finishing:
		return c.bodyLeft == 0
	}
	return false
}

// splitHead is given bytes that were read in the phase idle. It keeps those behind the end of a head
// and returns the number of the others.
func (c *conn) splitHead(p []byte) int {
	n := c.head.end(p)
	if n < 0 {
		return len(p)
	}
	c.phase = headRead
	if n < len(p) {
		c.ahead = append(c.ahead, p[n:]...)
	}
	return n
}

// begin is called before the handler serves a request.
func (c *conn) begin(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == opaque:
		return
	case c.phase != headRead || r.ContentLength < 0:
		c.phase = opaque
	case safe(r):
		c.phase = shared
	default:
		c.phase = exclusive
		c.bodyLeft = r.ContentLength
	}
	c.blocked, c.last = false, r.Close
	if c.phase == shared && len(c.ahead) > 0 && !c.takenOver {
		c.takeOver()
	}
	c.openLanes()
	c.changed.Broadcast()
}

// handled is called when the handler has returned.
func (c *conn) handled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != opaque {
		c.phase = finishing
	}
}

// answered implements stream.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == opaque {
		return
	}
	c.phase = idle
	if c.bodyLeft != 0 {
		c.phase = opaque
	}
	c.changed.Broadcast()
}

// keepOpen implements stream.
func (c *conn) keepOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || len(c.lanes) == 0
	return len(c.lanes) > 0
}

// serveNoMore implements stream.
func (c *conn) serveNoMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return len(c.lanes) > 0
}

// ended implements stream.
func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// takeOver starts the pump.
func (c *conn) takeOver() {
	c.takenOver = true
	c.server.takenOver.Add(1)
	// An error shows when the pump reads.
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.setTimer()
	c.openLanes()
	go c.pump()
}

// pump reads the connection, at most maxReadAhead bytes before their time, so that later requests
// and the leaving of the caller are noticed while requests are in progress.
func (c *conn) pump() {
	buf := make([]byte, maxReadAhead/2)
	for {
		c.mu.Lock()
		for len(c.ahead) >= maxReadAhead && !c.closed {
			c.changed.Wait()
		}
		room := maxReadAhead - len(c.ahead)
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return
		}
		n, err := c.Conn.Read(buf[:min(room, len(buf))])
		c.mu.Lock()
		c.ahead = append(c.ahead, buf[:n]...)
		if err != nil {
			c.readErr = err
			c.gone = c.inProgress() || len(c.lanes) > 0
		}
		c.openLanes()
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// await is Read for a connection that was taken over.
func (c *conn) await(p []byte) (int, error) {
	for {
		c.gone = c.gone || c.readErr != nil && c.inProgress()
		switch {
		case c.released || c.closed:
			return 0, net.ErrClosed
		case c.gone:
			return 0, c.readErr
		case c.expired():
			return 0, os.ErrDeadlineExceeded
		case c.readable():
			return c.take(p), nil
		case c.readErr != nil && len(c.ahead) == 0:
			return 0, c.readErr
		}
		c.changed.Wait()
	}
}

// readable reports whether there are bytes that net/http may have now.
func (c *conn) readable() bool {
	switch {
	case len(c.ahead) == 0 || len(c.lanes) > 0:
		return false
	case c.phase == idle || c.phase == opaque:
		return true
	}
	return c.bodyLeft > 0
}

// take copies bytes to p that were read before.
func (c *conn) take(p []byte) int {
	src := c.ahead
	if c.bodyLeft > 0 {
		src = src[:min(int64(len(src)), c.bodyLeft)]
	}
	n := min(len(p), len(src))
	if c.phase == idle {
		if end := c.head.end(src[:n]); end >= 0 {
			n = end
			c.phase = headRead
		}
	}
	copy(p, src[:n])
	if c.bodyLeft > 0 {
		c.bodyLeft -= int64(n)
	}
	c.drop(n)
	c.changed.Broadcast()
	return n
}

// drop removes the first n bytes of ahead.
func (c *conn) drop(n int) {
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
}

// openLanes opens lanes for the requests in ahead.
func (c *conn) openLanes() {
	for c.mayOpenLane() {
		size := new(headScanner).end(c.ahead)
		if size < 0 {
			return
		}
		r, err := parseHead(c.ahead[:size])
		if err != nil || !safe(r) || !c.server.reserveLane() {
			c.blocked = true
			return
		}
		l := &lane{conn: c, request: append([]byte(nil), c.ahead[:size]...)}
		c.drop(size)
		c.lanes = append(c.lanes, l)
		c.last = r.Close
		c.server.start(l)
	}
}

// mayOpenLane reports whether the next request in ahead may be served in a lane if it is safe.
func (c *conn) mayOpenLane() bool {
	follows := c.phase == shared || c.phase == idle && len(c.lanes) > 0
	usable := !c.blocked && !c.last && !c.released && !c.closed && c.readErr == nil
	return follows && usable && len(c.ahead) > 0 && len(c.lanes) < maxConnLanes
}

// finish removes the first lane, whose answer has been written.
func (c *conn) finish() {
	c.lanes = c.lanes[1:]
	c.openLanes()
	if len(c.lanes) == 0 {
		if c.released {
			c.cut()
		}
		c.restartDeadline()
	}
	c.changed.Broadcast()
}

// restartDeadline sets the deadline for reads to the time at which it would pass if the connection
// had become idle now.
func (c *conn) restartDeadline() {
	if c.phase != idle || c.readDeadline.IsZero() {
		return
	}
	now := time.Now()
	c.readDeadline, c.deadlineSet = now.Add(c.readDeadline.Sub(c.deadlineSet)), now
	c.setTimer()
}

// expired reports whether the deadline for reads has passed. That of an idle connection is put off
// until the lanes are answered.
func (c *conn) expired() bool {
	if c.readDeadline.IsZero() || c.phase == idle && len(c.lanes) > 0 {
		return false
	}
	return !time.Now().Before(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.deadlineSet = t, time.Now()
	c.changed.Broadcast()
	if !c.takenOver {
		return c.Conn.SetReadDeadline(t)
	}
	c.setTimer()
	return nil
}

// setTimer starts the timer for the deadline for reads.
func (c *conn) setTimer() {
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	if left := time.Until(c.readDeadline); left > 0 {
		c.deadlineTimer = time.AfterFunc(left, c.signal)
	}
}

func (c *conn) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

// CloseWrite is for net/http, which closes the direction to the caller first if it has not read all.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn. If net/http closes the connection between two requests, for example
// because the server stops, the lanes are answered before.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && len(c.lanes) > 0 && !c.closed {
		c.released = true
		c.changed.Broadcast()
		return nil
	}
	return c.cut()
}

// cut closes the connection, which ends all lanes.
func (c *conn) cut() error {
	c.closed = true
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
	c.changed.Broadcast()
	return c.Conn.Close()
}
