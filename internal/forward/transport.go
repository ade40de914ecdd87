package forward

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the usual idle timeout of servers, so that a reused
	// connection is seldom one that the upstream is about to close.
	idleTimeout = 20 * time.Second
	// maxHeader bounds the header of an answer in bytes.
	maxHeader = 64 << 10
)

// errSealed is what a write to a sealed connection returns.
var errSealed = errors.New("forward: request given up before it was written")

// countedConn knows whether anything was written to it since a request took it.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	sealed  bool
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

// NewTransport returns the transport to upstreams. With conf set it speaks TLS.
func NewTransport(conf *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	dialTLS := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := tls.Dialer{NetDialer: dialer, Config: conf}
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		DialTLSContext:         dialTLS,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
		Protocols:              http1Only(),
	}
}

// http1Only keeps one request to a connection at a time, which countedConn
// relies on.
func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// sendWatch follows one attempt to tell whether any of it was written.
type sendWatch struct {
	mu   sync.Mutex
	conn *countedConn
	// blind is set if the connection cannot tell what was written.
	blind bool
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
