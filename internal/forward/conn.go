package forward

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxStaleBody is the largest body in bytes of a response to an earlier request that is read to
	// get to the next response.
	maxStaleBody = 1 << 20
	// maxInlineBody is the largest request body in bytes that is sent before the response is
	// read. A longer body is sent in a goroutine of its own, because the upstream may respond
	// before it has read the whole body.
	maxInlineBody  = 8 << 10
	connBufferSize = 4 << 10
	// maxFailed is the number of requests that may be answered with an error status before the
	// connection is closed.
	maxFailed = 64
)

var (
	errStaleResponses = errors.New("forward: too many answers to earlier requests")
	// errEarlyData means that the upstream sent data before it got the first request of a connection.
	errEarlyData = errors.New("forward: data from the upstream before the request")
)

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	*trackedConn
	pool *Pool
	addr string
	// raw is the underlying socket; nil if there is none.
	raw          syscall.Conn
	br           *bufio.Reader
	bw           *bufio.Writer
	header       *headerReader
	idleTimeout  time.Duration
	idleDeadline time.Time
	// idleSince is when the connection was last returned to the pool; zero if it never was.
	idleSince time.Time
	closed    atomic.Bool
	// failed has the IDs of the requests that were answered with an error status.
	failed []string
}

func newUpstreamConn(p *Pool, addr string, conn *trackedConn, raw syscall.Conn) *upstreamConn {
	c := &upstreamConn{trackedConn: conn, pool: p, addr: addr, raw: raw, idleTimeout: defaultIdleTimeout}
	c.header = &headerReader{src: conn, memory: &p.headers}
	c.br = bufio.NewReaderSize(c.header, connBufferSize)
	c.bw = bufio.NewWriterSize(conn, connBufferSize)
	return c
}

func (c *upstreamConn) close() {
	if c.closed.CompareAndSwap(false, true) {
		c.Conn.Close()
	}
}

// usable reports whether an idle connection is open and has no unread data. Data received on an
// idle connection belongs to no request.
func (c *upstreamConn) usable() bool {
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
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && usable
}

// roundTrip sends a request and reads the header of its response. At the end of the response
// body the connection returns to the pool or is closed.
func (c *upstreamConn) roundTrip(req *http.Request) (*http.Response, error) {
	first := c.requests == 0
	// With TLS, the end of the handshake may still be unread.
	if first && c.pool.opt.TLS == nil && !c.usable() {
		return nil, errEarlyData
	}
	stop := context.AfterFunc(req.Context(), c.close)
	c.requests++
	sending, err := c.send(req)
	if err != nil {
		stop()
		return nil, err
	}
	resp, stale, err := c.receive(req, first)
	if err != nil {
		stop()
		return nil, err
	}
	b := &responseBody{ReadCloser: resp.Body, resp: resp, conn: c, stop: stop, upload: sending}
	c.recordStatus(req, resp)
	b.reuse = !stale && c.reusable(req, resp)
	empty := resp.ContentLength == 0 || resp.Body == http.NoBody
	if timeout, ok := parseKeepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = timeout
	}
	resp.Body = b
	if empty {
		b.finish(true)
	}
	return resp, nil
}

// reusable reports whether the connection may carry another request after a response. Requests that need a
// new connection would otherwise leave more and more connections that they never use again.
func (c *upstreamConn) reusable(req *http.Request, resp *http.Response) bool {
	if resp.Close || closeDelimited(resp) || !c.pool.opt.Identified(resp) {
		return false
	}
	return len(c.failed) < maxFailed && !needsNewConnection(req.Context())
}

// recordStatus records a request that was answered with an error status. The connection never carries
// it again: a late copy of the answer, such as a refusal, could not be told from the answer to the
// second send by the ID, which is the same.
func (c *upstreamConn) recordStatus(req *http.Request, resp *http.Response) {
	if id := c.pool.opt.SentID(req); id != "" && resp.StatusCode >= http.StatusBadRequest {
		c.failed = append(c.failed, id)
	}
}

// hasFailed reports whether the request with an ID was answered with an error status.
func (c *upstreamConn) hasFailed(id string) bool { return id != "" && slices.Contains(c.failed, id) }

// upload is the sending of a long request body.
type upload struct {
	// done is closed at the end, after which err is the result.
	done chan struct{}
	err  error
}

// send writes the request. It returns the sending of a long body, or nil if the request has been sent
// completely.
func (c *upstreamConn) send(req *http.Request) (*upload, error) {
	writeHeader(c.bw, req)
	if req.Body == nil || req.ContentLength == 0 {
		return nil, c.bw.Flush()
	}
	if req.ContentLength > 0 && req.ContentLength <= maxInlineBody {
		return nil, c.sendBody(req)
	}
	if err := c.bw.Flush(); err != nil {
		return nil, err
	}
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = c.sendBody(req)
		if errors.Is(u.err, errCallerBody) {
			// The connection is closed so that the upstream does not take the part that it got
			// for the whole body. Otherwise the Proxy would wait for a response that never comes.
			c.close()
		}
	}()
	return u, nil
}

// errCallerBody means that reading the request body from the caller failed, rather than writing
// it to the upstream.
var errCallerBody = errors.New("forward: body from the caller broke off")

// sendBody sends the body in the framing that writeHeader announced.
func (c *upstreamConn) sendBody(req *http.Request) error {
	chunked := req.ContentLength < 0
	left := req.ContentLength
	buf := make([]byte, streamBufferSize)
	for chunked || left > 0 {
		n, err := req.Body.Read(buf)
		if !chunked {
			n = int(min(int64(n), left))
			left -= int64(n)
		}
		if n > 0 {
			c.writeChunk(buf[:n], chunked)
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

// writeChunk writes part of a body. Write errors are reported by the next Flush.
func (c *upstreamConn) writeChunk(p []byte, chunked bool) {
	if !chunked {
		_, _ = c.bw.Write(p)
		return
	}
	fmt.Fprintf(c.bw, "%x\r\n", len(p))
	_, _ = c.bw.Write(p)
	_, _ = c.bw.WriteString("\r\n")
}

// writeHeader writes the request line and the header. Write errors are reported by the next
// Flush.
func writeHeader(w *bufio.Writer, req *http.Request) {
	target := req.URL.Opaque
	if target == "" {
		target = req.URL.RequestURI()
	}
	_, _ = w.WriteString(req.Method + " " + target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	switch {
	case req.ContentLength < 0 && req.Body != nil:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case req.ContentLength > 0 || needsContentLength(req.Method):
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

// needsContentLength reports whether requests of a method carry a Content-Length even if it is
// 0.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads the header of the response to req. It discards responses to earlier requests
// and sets stale if there were any. It reads at most maxStaleResponses headers, each of which must
// be valid.
func (c *upstreamConn) receive(req *http.Request, first bool) (resp *http.Response, stale bool, err error) {
	for range maxStaleResponses {
		c.header.begin(c.br)
		resp, err = http.ReadResponse(c.br, req)
		head := c.header.end(c.br)
		if err == nil {
			err = checkHead(resp, head)
		}
		if err != nil {
			return nil, stale, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if first || c.pool.opt.Matches(resp, req) || closeDelimited(resp) {
			return resp, stale, nil
		}
		stale = true
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody)); err != nil || n == maxStaleBody {
			return nil, stale, cmp.Or(err, errStaleResponses)
		}
	}
	return nil, stale, errStaleResponses
}

// parseKeepAlive returns the idle timeout from a Keep-Alive header field, less idleMargin. It
// returns false if the field has no valid timeout.
func parseKeepAlive(field string) (time.Duration, bool) {
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

// responseBody is the body of a response. At its end the connection returns to the pool if it
// can be reused.
type responseBody struct {
	io.ReadCloser
	resp *http.Response
	conn *upstreamConn
	stop func() bool
	// upload is the sending of the request body; nil if the body was sent before the response arrived.
	upload *upload
	reuse  bool
	ended  bool
}

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.endOfBody()
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// endOfBody returns io.EOF if the body ended in order, and an error otherwise.
func (b *responseBody) endOfBody() error {
	if err := checkFieldNames(b.resp.Trailer); err != nil {
		return err
	}
	if !closeDelimited(b.resp) || b.upload == nil {
		return io.EOF
	}
	// An upstream that has closed the connection, rather than its own direction, resets it when more of the request
	// arrives. It may have been cut off in the middle of the response.
	timer := time.NewTimer(promptReset(b.conn.connectTime))
	defer timer.Stop()
	select {
	case <-b.upload.done:
		if b.upload.err != nil {
			return fmt.Errorf("%w: %w", errBrokenOff, b.upload.err)
		}
	case <-timer.C:
	}
	return b.conn.endOfStream()
}

// Close implements io.Closer. Closing before the end of the body closes the connection.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(complete bool) {
	if b.ended {
		return
	}
	b.ended = true
	cancelled := !b.stop()
	if !complete || cancelled || !b.reuse || !b.allSent() || b.conn.br.Buffered() > 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// allSent reports whether the whole request had been sent when the response ended. After an
// early response the upstream may still read the rest of the request body, so the connection
// must not be reused.
func (b *responseBody) allSent() bool {
	if b.upload == nil {
		return true
	}
	select {
	case <-b.upload.done:
		return b.upload.err == nil
	default:
		return false
	}
}
