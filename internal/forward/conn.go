package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
	// inlineBody is the largest body in bytes that is sent before the answer is
	// looked for. A longer one is sent beside, since the upstream may answer
	// before it has read it all.
	inlineBody = 8 << 10
	connBuffer = 4 << 10
)

var (
	errSurplus     = errors.New("forward: too many answers to earlier requests")
	errHeaderBound = errors.New("forward: header of the answer is too long")
)

// upstreamConn is one connection to an upstream.
type upstreamConn struct {
	*countedConn
	pool *Pool
	addr string
	// raw is the connection's socket, or nil if it has none.
	raw syscall.Conn
	br  *bufio.Reader
	bw  *bufio.Writer
	// limit bounds what is read as the header of an answer.
	limit *io.LimitedReader
	// requests is how many were sent.
	requests  int
	keep      time.Duration
	keepUntil time.Time
	// restedSince is when the connection was last put back; zero if it never was.
	restedSince time.Time
	closed      atomic.Bool
}

func newUpstreamConn(p *Pool, addr string, conn *countedConn, raw syscall.Conn) *upstreamConn {
	c := &upstreamConn{countedConn: conn, pool: p, addr: addr, raw: raw, keep: defaultIdle}
	c.limit = &io.LimitedReader{R: conn}
	c.br = bufio.NewReaderSize(c.limit, connBuffer)
	c.bw = bufio.NewWriterSize(conn, connBuffer)
	return c
}

func (c *upstreamConn) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.Conn.Close()
	}
}

// quiet reports whether an idle connection is open and nothing has come on it: a
// byte out of turn belongs to no request.
func (c *upstreamConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// exchange sends a request and reads the header of its answer. The connection
// goes back to the pool, or is closed, when the answer's body ends.
func (c *upstreamConn) exchange(req *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(req.Context(), c.close)
	first := c.requests == 0
	c.requests++
	sent, err := c.send(req)
	if err != nil {
		stop()
		return nil, err
	}
	resp, surplus, err := c.receive(req, first)
	if err != nil {
		stop()
		return nil, err
	}
	b := &answerBody{ReadCloser: resp.Body, conn: c, stop: stop, sent: sent}
	b.reuse = !resp.Close && !surplus && !endsWithConnection(resp)
	empty := resp.ContentLength == 0 || resp.Body == http.NoBody
	if keep, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.keep = keep
	}
	resp.Body = b
	if empty {
		b.finish(true)
	}
	return resp, nil
}

// send writes the request. It returns a channel on which the end of a long body
// will be told, or nil if all is sent.
func (c *upstreamConn) send(req *http.Request) (<-chan error, error) {
	writeHead(c.bw, req)
	if req.Body == nil || req.ContentLength == 0 {
		return nil, c.bw.Flush()
	}
	if req.ContentLength > 0 && req.ContentLength <= inlineBody {
		return nil, c.sendBody(req)
	}
	if err := c.bw.Flush(); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		err := c.sendBody(req)
		if errors.Is(err, errCallerBody) {
			// The upstream must not take the part for the whole, and the answer
			// that it owes would never come.
			c.close()
		}
		done <- err
	}()
	return done, nil
}

// errCallerBody means that a request's body broke off on its way from the
// caller, rather than on its way to the upstream.
var errCallerBody = errors.New("forward: body from the caller broke off")

// sendBody sends the body framed as writeHead announced it.
func (c *upstreamConn) sendBody(req *http.Request) error {
	chunked := req.ContentLength < 0
	left := req.ContentLength
	buf := make([]byte, streamBuffer)
	for chunked || left > 0 {
		n, err := req.Body.Read(buf)
		if !chunked {
			n = int(min(int64(n), left))
			left -= int64(n)
		}
		if n > 0 {
			c.writePiece(buf[:n], chunked)
			if ferr := c.bw.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF && (chunked || left == 0) {
			break
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errCallerBody, err)
		}
	}
	if chunked {
		_, _ = c.bw.WriteString("0\r\n\r\n")
	}
	return c.bw.Flush()
}

// writePiece writes a part of a body. An error comes out at Flush.
func (c *upstreamConn) writePiece(p []byte, chunked bool) {
	if !chunked {
		_, _ = c.bw.Write(p)
		return
	}
	fmt.Fprintf(c.bw, "%x\r\n", len(p))
	_, _ = c.bw.Write(p)
	_, _ = c.bw.WriteString("\r\n")
}

// writeHead writes the request line and the header. An error comes out at Flush.
func writeHead(w *bufio.Writer, req *http.Request) {
	target := req.URL.Opaque
	if target == "" {
		target = req.URL.RequestURI()
	}
	_, _ = w.WriteString(req.Method + " " + target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	switch {
	case req.ContentLength < 0 && req.Body != nil:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case req.ContentLength > 0 || bodyExpected(req.Method):
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(max(0, req.ContentLength), 10) + "\r\n")
	}
	for name, values := range req.Header {
		if name == "Host" || name == "Content-Length" || name == "Transfer-Encoding" {
			continue
		}
		for _, v := range values {
			if name == "User-Agent" && v == "" {
				continue
			}
			_, _ = w.WriteString(name + ": " + v + "\r\n")
		}
	}
	_, _ = w.WriteString("\r\n")
}

// bodyExpected reports whether a request of a method has a length even if it is 0.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the header of the request's answer, past those of earlier
// requests. Surplus is set if there were any.
func (c *upstreamConn) receive(req *http.Request, first bool) (resp *http.Response, surplus bool, err error) {
	for range maxSurplus {
		c.limit.N = maxAnswerHeader
		resp, err = http.ReadResponse(c.br, req)
		if err != nil {
			if c.limit.N <= 0 {
				err = errHeaderBound
			}
			return nil, surplus, err
		}
		c.limit.N = 1<<63 - 1
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if first || c.pool.opt.Matches(resp, req) || endsWithConnection(resp) {
			return resp, surplus, nil
		}
		surplus = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, surplus, err
		}
	}
	return nil, surplus, errSurplus
}

// keepAlive reads how long an upstream keeps an idle connection, less the margin.
func keepAlive(field string) (time.Duration, bool) {
	for param := range strings.SplitSeq(field, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		s, err := strconv.Atoi(value)
		if err != nil || s < 0 {
			return 0, false
		}
		return max(0, time.Duration(s)*time.Second-idleMargin), true
	}
	return 0, false
}

// answerBody is the body of an answer. At its end the connection goes back to
// the pool if nothing speaks against it.
type answerBody struct {
	io.ReadCloser
	conn *upstreamConn
	stop func() bool
	// sent tells the end of a request body that is still being sent; nil if all
	// was sent before the answer came.
	sent  <-chan error
	reuse bool
	ended bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. A body that is closed early closes its connection.
func (b *answerBody) Close() error {
	b.finish(false)
	return nil
}

func (b *answerBody) finish(whole bool) {
	if b.ended {
		return
	}
	b.ended = true
	cancelled := !b.stop()
	if !whole || cancelled || !b.reuse || !b.allSent() || b.conn.br.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// allSent reports whether the whole request had gone out when the answer ended.
// After an answer that came early the upstream may still read the rest of the
// body, so that nothing else may follow on the connection.
func (b *answerBody) allSent() bool {
	if b.sent == nil {
		return true
	}
	select {
	case err := <-b.sent:
		return err == nil
	default:
		return false
	}
}
