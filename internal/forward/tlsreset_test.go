package forward

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// writeErrorFirstConn is a connection of which nothing is read behind the answer until a write has failed.
type writeErrorFirstConn struct {
	*net.TCPConn
	answered, failed chan struct{}
	fail             func()
}

// Read implements net.Conn.
func (c *writeErrorFirstConn) Read(p []byte) (int, error) {
	select {
	case <-c.answered:
		<-c.failed
	default:
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn.
func (c *writeErrorFirstConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.fail()
	}
	return n, err
}

// TestResponseResetUnderTLSIsIncomplete resets the connection of an answer without a length under TLS, while the
// request is still being written, so that only the writer gets the error.
func TestResponseResetUnderTLSIsIncomplete(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	received, wasReset := make(chan struct{}), make(chan struct{})
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		over := tls.Server(c, certified.TLS)
		if _, err := http.ReadRequest(bufio.NewReader(over)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(over, "HTTP/1.1 200 OK\r\n\r\na part")
		<-received
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
		close(wasReset)
	}()
	failed := make(chan struct{})
	answered := make(chan struct{})
	p := NewPool(PoolOptions{
		Now: time.Now,
		TLS: certified.Client().Transport.(*http.Transport).TLSClientConfig,
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &writeErrorFirstConn{c.(*net.TCPConn), answered, failed, sync.OnceFunc(func() { close(failed) })}, nil
		},
	})
	body, w := io.Pipe()
	defer body.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+lis.Addr().String(), body)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = -1
	resp, err := p.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	close(answered)
	close(received)
	<-wasReset
	go func() { _, _ = io.WriteString(w, strings.Repeat("x", 1<<20)) }()
	if got, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("read %q as the whole body", got)
	}
}
