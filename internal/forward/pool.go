package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout limits the wait for a connection to an upstream.
	defaultDialTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does not state
	// its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the upstream the Pool closes an idle connection, so
	// that a request seldom coincides with the upstream's close.
	idleMargin = time.Second
	// unackedTimeout is how long sent data may stay unacknowledged before the kernel closes the
	// connection. By then the upstream's instance is down or unreachable.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdlePerUpstream is the largest number of idle connections to one upstream.
	maxIdlePerUpstream = 64
	// sweepInterval is the time between searches for expired idle connections.
	sweepInterval = 5 * time.Second
	// maxStaleResponses is the largest number of response headers that are read in search of
	// the response to one request.
	maxStaleResponses = 4
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	// TLS is the client configuration for upstreams; nil means plain TCP.
	TLS *tls.Config
	// DialTimeout limits the wait for a connection; 0 means defaultDialTimeout.
	DialTimeout time.Duration
	// MaxHeaders is the largest memory in bytes that the long headers of all responses together use
	// while they are read; 0 means no limit.
	MaxHeaders int64
	// Now returns the current time.
	Now func() time.Time
	// Dial opens connections; nil means the function of net.Dialer. It is called with a context that
	// ends after DialTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Matches reports whether a response belongs to a request; nil means that every response
	// does.
	Matches func(*http.Response, *http.Request) bool
	// SentID returns the ID by which Matches recognises the responses to a request; nil means that
	// requests have none.
	SentID func(*http.Request) string
	// Identified reports whether a late copy of a response could be recognised. After a response of
	// which it could not, the connection is closed. nil means that every copy could.
	Identified func(*http.Response) bool
}

// Pool holds connections to upstreams, with one request at a time on each connection. It is an
// http.RoundTripper that is stricter than net/http's: it never sends a request twice, it
// discards responses to earlier requests, and it closes a connection that delivers unexpected
// data. It is safe for concurrent use.
type Pool struct {
	opt PoolOptions
	// headers counts the memory of long response headers.
	headers buffers

	mu        sync.Mutex
	idle      map[string][]*upstreamConn
	lastSweep time.Time

	reuse reuseLimiter
}

// NewPool returns a Pool without connections.
func NewPool(opt PoolOptions) *Pool {
	if opt.DialTimeout <= 0 {
		opt.DialTimeout = defaultDialTimeout
	}
	if opt.Matches == nil {
		opt.Matches = func(*http.Response, *http.Request) bool { return true }
	}
	if opt.SentID == nil {
		opt.SentID = func(*http.Request) string { return "" }
	}
	if opt.Identified == nil {
		opt.Identified = func(*http.Response) bool { return true }
	}
	p := &Pool{opt: opt, headers: buffers{limit: opt.MaxHeaders}, idle: make(map[string][]*upstreamConn)}
	if p.opt.Dial == nil {
		dialer := net.Dialer{Control: setUnackedTimeout}
		p.opt.Dial = dialer.DialContext
	}
	return p
}

// setUnackedTimeout sets unackedTimeout on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	c, err := p.get(ctx, req.URL.Host, p.opt.SentID(req))
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		// The request was given up while the connection was opened.
		c.close()
		return nil, ctx.Err()
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.trackedConn, Reused: c.requests > 0})
	}
	sent := p.opt.Now()
	resp, err := c.roundTrip(req)
	if err != nil {
		c.close()
		if now := p.opt.Now(); !c.idleSince.IsZero() && ctx.Err() == nil && !errors.Is(err, errMalformed) && resetPromptly(now.Sub(sent), c.connectTime) {
			p.reuse.recordBreak(sent.Sub(c.idleSince), now)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return resp, nil
}

// get returns a usable idle connection for the request with an ID, or opens a new one.
func (p *Pool) get(ctx context.Context, addr, id string) (*upstreamConn, error) {
	for {
		if needsNewConnection(ctx) {
			return p.dial(ctx, addr)
		}
		c := p.pop(addr, id, p.idleCutoff(ctx))
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.opt.Now().Before(c.idleDeadline) && c.usable() {
			return c, nil
		}
		c.close()
	}
}

// idleCutoff returns the time since which a connection must have been used to be eligible for
// the request. The zero time means that every idle connection is eligible.
func (p *Pool) idleCutoff(ctx context.Context) time.Time {
	now := p.opt.Now()
	limit := p.reuse.current(now)
	if limit.Until.IsZero() || !isNonIdempotent(ctx) {
		return time.Time{}
	}
	return now.Add(-limit.MaxConnIdle)
}

// pop removes and returns the most recently used idle connection on which the request with an ID has
// not failed before. It returns nil if there is none, or if that one became idle before the time after.
func (p *Pool) pop(addr, id string, after time.Time) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0 && !list[i].idleSince.Before(after); i-- {
		if c := list[i]; !c.hasFailed(id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	began := p.opt.Now()
	dialing, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	conn, err := p.opt.Dial(dialing, "tcp", addr)
	if err != nil {
		return nil, err
	}
	raw, _ := conn.(syscall.Conn)
	if p.opt.TLS != nil {
		conn, err = handshake(ctx, conn, p.opt.TLS)
		if err != nil {
			return nil, err
		}
	}
	connectTime := p.opt.Now().Sub(began)
	return newUpstreamConn(p, addr, &trackedConn{Conn: conn, connectTime: connectTime}, raw), nil
}

func handshake(ctx context.Context, conn net.Conn, conf *tls.Config) (net.Conn, error) {
	if conf.ServerName == "" {
		conf = conf.Clone()
		conf.ServerName, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	}
	t := tls.Client(conn, conf)
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}

// put adds a connection to the idle connections, or closes it if the upstream has
// maxIdlePerUpstream already.
func (p *Pool) put(c *upstreamConn) {
	now := p.opt.Now()
	c.idleDeadline, c.idleSince = now.Add(c.idleTimeout), now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerUpstream {
		c.close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	clear(p.idle)
}

// CloseIdle closes the idle connections to an address. After a restart of the upstream they
// lead to its previous process and would break under the next request.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.close()
	}
	delete(p.idle, addr)
}

// sweep closes the idle connections that have expired. The caller holds p.mu.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				remaining = append(remaining, c)
				continue
			}
			c.close()
		}
		clear(list[len(remaining):])
		p.idle[addr] = remaining
		if len(remaining) == 0 {
			delete(p.idle, addr)
		}
	}
}
