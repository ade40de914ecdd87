package fleet

import (
	"io"
	"net"
	"sync"
)

// TCPProxy passes TCP connections on to a target, and can cut them.
type TCPProxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// NewTCPProxy listens on a free address.
func NewTCPProxy(target string) (*TCPProxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &TCPProxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

// Addr returns the address to connect to.
func (r *TCPProxy) Addr() string { return r.lis.Addr().String() }

// SetBlocked breaks all connections and refuses new ones, or heals.
func (r *TCPProxy) SetBlocked(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for c := range r.conns {
		c.Close()
	}
}

// Close ends the relay.
func (r *TCPProxy) Close() {
	r.lis.Close()
	r.SetBlocked(true)
}

func (r *TCPProxy) accept() {
	for {
		c, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *TCPProxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	if !r.add(in, out) {
		return
	}
	defer r.remove(in, out)
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

func (r *TCPProxy) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

func (r *TCPProxy) remove(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
