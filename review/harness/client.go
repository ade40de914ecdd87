package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a caller with a kept connection.
type client struct {
	name, addr string
	conn       net.Conn
	br         *bufio.Reader
}

// attemptID returns a new id of an attempt.
func attemptID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// answer is what a client got for an attempt.
type answer struct {
	status int
	seal   string
	header http.Header
	body   []byte
	err    error
}

// requestText returns the bytes of a request.
func requestText(method, host, path, attempt, key string, deadline time.Duration, body string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%s\r\nDeadline-Ms: %d\r\n", method, path, host, attempt, key, deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	return out.String() + "\r\n" + body
}

// connect opens a connection unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return nil
}

// drop closes the connection.
func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// read reads the next answer.
func (c *client) read(method string, limit time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		c.drop()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("Server-Seal"), header: resp.Header, body: body, err: err}
	if err != nil || resp.Close {
		c.drop()
	}
	return a
}

// do sends one request and reads its answer.
func (c *client) do(method, host, path, attempt, key string, deadline time.Duration, body string) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	record(c.name, "sends", "attempt", attempt, "request", method+" "+path, "to", c.addr)
	if _, err := io.WriteString(c.conn, requestText(method, host, path, attempt, key, deadline, body)); err != nil {
		c.drop()
		return answer{err: err}
	}
	a := c.read(method, deadline)
	record(c.name, "is answered", "attempt", attempt, "status", a.status, "seal", a.seal, "err", a.err)
	return a
}
