package fleet

import (
	"io"
	"net"
	"sync"
)

// TCPProxy forwards TCP connections to a target. It can close and refuse them, as a
// network fault does.
type TCPProxy struct {
	lis    net.Listener
	target string

	mu      sync.Mutex
	blocked bool
	conns   map[net.Conn]bool
}

// NewTCPProxy returns a proxy that listens on a free loopback port and forwards to
// target (HOST:PORT).
func NewTCPProxy(target string) (*TCPProxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &TCPProxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *TCPProxy) Addr() string { return p.lis.Addr().String() }

// SetBlocked with true closes all connections, and new ones at once until SetBlocked
// with false.
func (p *TCPProxy) SetBlocked(blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = blocked
	if !blocked {
		return
	}
	for c := range p.conns {
		c.Close()
	}
}

// Close stops listening and closes all connections.
func (p *TCPProxy) Close() {
	p.lis.Close()
	p.SetBlocked(true)
}

// accept serves connections until the listener is closed.
func (p *TCPProxy) accept() {
	for {
		c, err := p.lis.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve copies both directions of a connection until both have ended.
func (p *TCPProxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !p.add(in, out) {
		return
	}
	defer p.remove(in, out)
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
	<-done
}

// add registers connections, unless the proxy is blocked, and reports whether it did.
func (p *TCPProxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked {
		return false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return true
}

func (p *TCPProxy) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}
