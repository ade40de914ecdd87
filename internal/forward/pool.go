package forward

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout bounds the wait for a connection to an upstream.
	defaultDialTimeout = 2 * time.Second
	// defaultIdle is how long an idle connection is kept if the upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the upstream an idle connection is
	// given up, so that a request seldom meets the upstream's close.
	idleMargin = time.Second
	// unackedTimeout is after what time a connection breaks on which the upstream
	// does not even acknowledge what was sent: its instance is dead or cut off.
	unackedTimeout = 1500 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections kept to one upstream.
	maxIdlePerUpstream = 64
	// sweepEvery is the time between looks for idle connections that have been
	// kept for long enough.
	sweepEvery = 5 * time.Second
	// maxSurplus is how many answers of earlier requests are passed over in the
	// place of the one that is due.
	maxSurplus = 4
)

// PoolOptions sets up a Pool.
type PoolOptions struct {
	// TLS is for upstreams; nil means plain TCP.
	TLS *tls.Config
	// DialTimeout bounds the wait for a connection; 0 means the usual bound.
	DialTimeout time.Duration
	// Now is the clock.
	Now func() time.Time
	// Matches reports whether an answer belongs to a request; nil means that all do.
	Matches func(*http.Response, *http.Request) bool
}

// Pool holds the connections to upstreams, one request at a time on each. It is
// an http.RoundTripper that is stricter than net/http's: it never sends a
// request twice, it passes over answers that belong to an earlier request, and
// it drops a connection on which anything is out of turn. It is safe for
// concurrent use.
type Pool struct {
	opt    PoolOptions
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[string][]*upstreamConn
	swept time.Time

	rests rests
}

// NewPool returns a Pool without connections.
func NewPool(opt PoolOptions) *Pool {
	if opt.DialTimeout <= 0 {
		opt.DialTimeout = defaultDialTimeout
	}
	if opt.Matches == nil {
		opt.Matches = func(*http.Response, *http.Request) bool { return true }
	}
	p := &Pool{opt: opt, idle: make(map[string][]*upstreamConn)}
	p.dialer = net.Dialer{Timeout: opt.DialTimeout, Control: setUnackedTimeout}
	return p
}

// setUnackedTimeout has the kernel break a connection whose peer is silent.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	c, err := p.take(ctx, req.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.countedConn, Reused: c.requests > 0})
	}
	sent := p.opt.Now()
	resp, err := c.exchange(req)
	if err != nil {
		c.close()
		if now := p.opt.Now(); !c.restedSince.IsZero() && ctx.Err() == nil && promptly(now.Sub(sent), c.connect) {
			p.rests.broke(sent.Sub(c.restedSince), now)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	return resp, nil
}

// take returns an idle connection that is still good, or makes a new one.
func (p *Pool) take(ctx context.Context, addr string) (*upstreamConn, error) {
	for {
		c := p.pop(addr, p.trusted(ctx))
		if c == nil {
			return p.dial(ctx, addr)
		}
		if p.opt.Now().Before(c.keepUntil) && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

// trusted returns since when a connection may have rested at most to be used for a
// request; the zero time if for any length.
func (p *Pool) trusted(ctx context.Context) time.Time {
	now := p.opt.Now()
	d := p.rests.current(now)
	if d.Until.IsZero() || !isOnce(ctx) {
		return time.Time{}
	}
	return now.Add(-d.MaxIdle)
}

// pop returns the idle connection that was used last, if it was after a time.
func (p *Pool) pop(addr string, after time.Time) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 || list[len(list)-1].restedSince.Before(after) {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*upstreamConn, error) {
	began := p.opt.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
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
	took := p.opt.Now().Sub(began)
	return newUpstreamConn(p, addr, &countedConn{Conn: conn, connect: took}, raw), nil
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

// put keeps a connection for the next request.
func (p *Pool) put(c *upstreamConn) {
	now := p.opt.Now()
	c.keepUntil, c.restedSince = now.Add(c.keep), now
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

// CloseIdle closes the idle connections to an address. They lead to an earlier life of its
// upstream, and would break under the next request.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.close()
	}
	delete(p.idle, addr)
}

// sweep closes the connections that were idle for too long.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.keepUntil) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(list[len(kept):])
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}
