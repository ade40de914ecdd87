package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

const (
	// dialTimeout bounds the time to open a connection, including the TLS handshake.
	dialTimeout = 2 * time.Second
	// maxIdleConns and maxIdlePerPeer bound the idle connections kept open for
	// reuse; idleTimeout is the time for which they are kept.
	maxIdleConns   = 24
	maxIdlePerPeer = 1
	idleTimeout    = 30 * time.Second
)

// ErrBusy is returned by a peer that is already sending the maximum number of
// snapshots.
var ErrBusy = errors.New("rpc: peer is busy")

// ByteCounts counts the bytes sent and received on the connections of a process.
type ByteCounts struct {
	Sent, Received atomic.Int64
}

// Dialer opens connections to agents and keeps idle connections open for reuse. It
// is safe for concurrent use.
type Dialer struct {
	tls    *tls.Config
	counts *ByteCounts
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a Dialer that uses TLS if conf is not nil. The bytes on its
// connections are added to counts, which may be nil.
func NewDialer(conf *tls.Config, counts *ByteCounts) *Dialer {
	if counts == nil {
		counts = new(ByteCounts)
	}
	return &Dialer{tls: conf, counts: counts, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdlePerPeer,
	})}
}

// Conn returns a connection to an address. The connection is taken from the pool or
// opened at the first call on it.
func (d *Dialer) Conn(addr string) drpc.Conn {
	return d.pool.Get(context.Background(), addr, d.dial)
}

// dial opens a connection whose bytes are counted.
func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&countingConn{conn, d.counts}), nil
}

// open opens a connection, with TLS if the Dialer has a TLS configuration.
func (d *Dialer) open(ctx context.Context, addr string) (net.Conn, error) {
	var nd net.Dialer
	if d.tls == nil {
		return nd.DialContext(ctx, "tcp", addr)
	}
	td := tls.Dialer{NetDialer: &nd, Config: d.tls}
	return td.DialContext(ctx, "tcp", addr)
}

// Close closes the idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

// Serve serves calls on the connections of lis until ctx is done. The bytes on its connections are
// added to counts, which may be nil.
func Serve(ctx context.Context, lis net.Listener, mux *drpcmux.Mux, counts *ByteCounts) error {
	if counts == nil {
		counts = new(ByteCounts)
	}
	return drpcserver.New(mux).Serve(ctx, &countingListener{lis, counts})
}

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	counts *ByteCounts
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.counts}, nil
}

// countingConn counts the bytes that it sends and receives.
type countingConn struct {
	net.Conn
	counts *ByteCounts
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.Sent.Add(int64(n))
	return n, err
}

// WrapTLS returns a TLS listener on lis, or lis itself if conf is nil.
func WrapTLS(lis net.Listener, conf *tls.Config) net.Listener {
	if conf == nil {
		return lis
	}
	return tls.NewListener(lis, conf)
}
