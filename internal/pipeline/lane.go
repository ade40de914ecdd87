package pipeline

import (
	"io"
	"net"
	"os"
	"slices"
	"time"
)

// lane is a net.Conn for one request of a connection, which has been read completely. Its reads end
// when the caller leaves, its writes wait for the answers before it. The lock of conn guards all
// fields.
type lane struct {
	conn    *conn
	request []byte
	// out is the part of the answer that waits for its turn.
	out []byte
	// aborted is set while the deadline for reads is in the past.
	aborted bool
	// cancelled is set if an answer before this one closes the connection.
	cancelled bool
	// settled is set once net/http has answered the request or closed the lane, and closes if the
	// connection closes after what was written.
	settled, closes bool
	// writeTimeout limits one write to the caller; 0 means no limit.
	writeTimeout time.Duration
}

// Read implements net.Conn.
func (l *lane) Read(p []byte) (int, error) {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case l.settled || l.cancelled || c.closed:
			return 0, io.EOF
		case c.gone:
			return 0, c.readErr
		case l.aborted:
			return 0, os.ErrDeadlineExceeded
		case len(l.request) > 0:
			n := copy(p, l.request)
			l.request = l.request[n:]
			return n, nil
		}
		c.changed.Wait()
	}
}

// Write implements net.Conn. It keeps what can not be sent yet, and waits once there is too much.
func (l *lane) Write(p []byte) (int, error) {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.settled {
		return 0, net.ErrClosed
	}
	if !l.hasTurn() && l.keep(p) {
		return len(p), nil
	}
	if err := l.flush(); err != nil {
		return 0, err
	}
	return l.send(p)
}

// hasTurn reports whether all answers before this one have been written.
func (l *lane) hasTurn() bool {
	lanes := l.conn.lanes
	return l.conn.phase == idle && len(lanes) > 0 && lanes[0] == l
}

// keep appends to the part that waits for its turn. It returns false if there is no room.
func (l *lane) keep(p []byte) bool {
	c, n := l.conn, int64(len(p))
	if c.closed || c.waiting+n > maxConnWaiting {
		return false
	}
	if c.server.waiting.Add(n) > maxWaiting {
		c.server.waiting.Add(-n)
		return false
	}
	c.waiting += n
	l.out = append(l.out, p...)
	return true
}

// flush waits for the turn of the answer and sends the part that has waited.
func (l *lane) flush() error {
	c := l.conn
	for !c.closed && !l.hasTurn() {
		c.changed.Wait()
	}
	out := l.out
	l.dropOut()
	if c.closed {
		return net.ErrClosed
	}
	if len(out) == 0 {
		return nil
	}
	_, err := l.send(out)
	return err
}

func (l *lane) dropOut() {
	l.conn.waiting -= int64(len(l.out))
	l.conn.server.waiting.Add(-int64(len(l.out)))
	l.out = nil
}

// send writes to the caller in the lane's turn. The lock is not held meanwhile.
func (l *lane) send(p []byte) (int, error) {
	deadline := time.Time{}
	if l.writeTimeout > 0 {
		deadline = time.Now().Add(l.writeTimeout)
	}
	c := l.conn
	c.mu.Unlock()
	defer c.mu.Lock()
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// answered implements stream.
func (l *lane) answered() {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.settle(false)
}

// Close implements net.Conn. If the request has not been answered, or its answer closes the
// connection, the connection ends with what was written of the answer.
func (l *lane) Close() error {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.settle(true)
	return nil
}

// settle ends the lane, at once or in its turn.
func (l *lane) settle(closes bool) {
	if l.settled {
		return
	}
	l.settled, l.closes = true, closes
	if closes {
		l.cancelBehind()
	}
	l.conn.changed.Broadcast()
	if l.hasTurn() && len(l.out) == 0 {
		l.end(nil)
		return
	}
	go func() {
		l.conn.mu.Lock()
		defer l.conn.mu.Unlock()
		l.end(l.flush())
	}()
}

// cancelBehind ends the requests behind this one, whose answers can not be sent.
func (l *lane) cancelBehind() {
	c := l.conn
	c.last = true
	if i := slices.Index(c.lanes, l); i >= 0 {
		for _, behind := range c.lanes[i+1:] {
			behind.cancelled = true
		}
	}
}

// end gives back what the lane holds, after its answer was written with the result err, and passes
// the turn on.
func (l *lane) end(err error) {
	c := l.conn
	c.server.open.Add(-1)
	if err == nil {
		err = c.Conn.SetWriteDeadline(time.Time{})
	}
	if l.closes || err != nil {
		_ = c.cut()
		return
	}
	c.finish()
}

// keepOpen implements stream.
func (l *lane) keepOpen() bool {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	behind := l.hasBehind()
	c.last = c.last || !behind
	return behind
}

// serveNoMore implements stream.
func (l *lane) serveNoMore() bool {
	c := l.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
	return l.hasBehind()
}

// ended implements stream.
func (l *lane) ended() bool {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	return l.cancelled || l.conn.closed
}

// hasBehind reports whether there are lanes behind this one.
func (l *lane) hasBehind() bool {
	lanes := l.conn.lanes
	return len(lanes) > 0 && lanes[len(lanes)-1] != l
}

// LocalAddr implements net.Conn.
func (l *lane) LocalAddr() net.Addr { return l.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *lane) RemoteAddr() net.Addr { return l.conn.RemoteAddr() }

// SetDeadline implements net.Conn.
func (l *lane) SetDeadline(t time.Time) error {
	_ = l.SetReadDeadline(t)
	return l.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. Only a deadline in the past has an effect: the request is
// there, so that no read of it waits.
func (l *lane) SetReadDeadline(t time.Time) error {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	l.aborted = !t.IsZero() && !t.After(time.Now())
	l.conn.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. The time until the deadline counts from the turn of the
// answer on, for each write. Removing a deadline has no effect, because what was written before may
// still wait.
func (l *lane) SetWriteDeadline(t time.Time) error {
	l.conn.mu.Lock()
	defer l.conn.mu.Unlock()
	if !t.IsZero() {
		l.writeTimeout = max(time.Until(t), time.Millisecond)
	}
	return nil
}
