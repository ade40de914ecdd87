package pipeline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// crossingConn is a caller's connection that the server closes when a Read has returned a request for
// /crossing, but before net/http has it.
type crossingConn struct {
	net.Conn
	shutdown  func()
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *crossingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], []byte("/crossing")) {
		c.shutdown()
		<-c.closed
	}
	return n, err
}

// Close implements net.Conn.
func (c *crossingConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// crossingListener accepts connections as crossingConns.
type crossingListener struct {
	net.Listener
	shutdown func()
}

// Accept implements net.Listener.
func (l *crossingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{Conn: c, shutdown: l.shutdown, closed: make(chan struct{})}, nil
}

// TestRequestThatCrossesTheCloseIsNotBegun guards against requests that run although their kept
// connection was closed before, which tells callers that they were not read.
func TestRequestThatCrossesTheCloseIsNotBegun(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			idle, stopped := make(chan struct{}, 1), make(chan error, 1)
			s := &server{addr: inner.Addr().String()}
			s.http = &http.Server{Handler: s, ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					idle <- struct{}{}
				}
			}}
			shutdown := func() { go func() { stopped <- s.http.Shutdown(context.Background()) }() }
			var l net.Listener
			s.Server, l = Install(s.http, &crossingListener{inner, shutdown})
			go func() { _ = s.http.Serve(l) }()
			c := s.dial(t, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
			if got := c.answers(t, 1); got != "200 first" {
				t.Fatalf("the first request was answered %q", got)
			}
			<-idle
			c.send(t, method+" /crossing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			if got := c.answers(t, 1); got != "end" {
				t.Errorf("the caller got %q, want the end of the connection", got)
			}
			if err := <-stopped; err != nil {
				t.Fatal(err)
			}
			if got := s.inOrder(); got != "+first" {
				t.Errorf("begun: %q, want +first alone", got)
			}
		})
	}
}

// TestPipelinedRequestBehindAClosingAnswerIsNotBegun guards against requests that run although the
// answer before them has closed their connection.
func TestPipelinedRequestBehindAClosingAnswerIsNotBegun(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: inner.Addr().String(), gates: map[string]chan struct{}{"first": make(chan struct{})}}
	// The request behind has been read when its lane becomes active.
	cut := make(chan struct{})
	s.http = &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		l, isLane := c.(*lane)
		if isLane && state == http.StateActive {
			close(s.gates["first"])
			l.conn.mu.Lock()
			for !l.cancelled && !l.conn.closed {
				l.conn.changed.Wait()
			}
			l.conn.mu.Unlock()
		}
		if isLane && state == http.StateClosed {
			close(cut)
		}
	}}
	s.answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	var l net.Listener
	s.Server, l = Install(s.http, inner)
	go func() { _ = s.http.Serve(l) }()
	t.Cleanup(func() { s.http.Close() })
	c := s.dial(t, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /behind HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := io.ReadAll(c); err != nil {
		t.Logf("the connection broke: %v", err)
	}
	<-cut
	if got := s.inOrder(); got != "+first" {
		t.Errorf("begun: %q, want +first alone", got)
	}
}
