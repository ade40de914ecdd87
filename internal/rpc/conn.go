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
	dialTimeout = 2 * time.Second
	// idleConns and idlePerPeer bound the connections kept open for reuse.
	idleConns   = 24
	idlePerPeer = 1
	idleFor     = 30 * time.Second
)

// ErrBusy is what a peer answers that serves too many others already.
var ErrBusy = errors.New("rpc: peer busy")

// ByteCounts counts bytes on the connections of a process.
type ByteCounts struct {
	Sent, Received atomic.Int64
}

// Dialer opens connections to agents and keeps some open. It is safe for
// concurrent use.
type Dialer struct {
	tls     *tls.Config
	traffic *ByteCounts
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a Dialer. With conf set it speaks TLS; traffic may be nil.
func NewDialer(conf *tls.Config, traffic *ByteCounts) *Dialer {
	if traffic == nil {
		traffic = new(ByteCounts)
	}
	return &Dialer{tls: conf, traffic: traffic, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleFor,
		Capacity:    idleConns,
		KeyCapacity: idlePerPeer,
	})}
}

// Conn returns a connection to an address, which is opened at the first call
// on it.
func (d *Dialer) Conn(addr string) drpc.Conn {
	return d.pool.Get(context.Background(), addr, d.dial)
}

func (d *Dialer) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&meteredConn{conn, d.traffic}), nil
}

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

// Serve answers calls on lis until ctx ends.
func Serve(ctx context.Context, lis net.Listener, mux *drpcmux.Mux, traffic *ByteCounts) error {
	if traffic == nil {
		traffic = new(ByteCounts)
	}
	return drpcserver.New(mux).Serve(ctx, &meteredListener{lis, traffic})
}

type meteredListener struct {
	net.Listener
	traffic *ByteCounts
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, l.traffic}, nil
}

type meteredConn struct {
	net.Conn
	traffic *ByteCounts
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}

// WrapTLS returns lis with TLS, or lis itself without a configuration.
func WrapTLS(lis net.Listener, conf *tls.Config) net.Listener {
	if conf == nil {
		return lis
	}
	return tls.NewListener(lis, conf)
}
