package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// sendStage is a point of a send to an upstream at which a test holds it.
type sendStage int

const (
	// connecting holds the send until its connection is open.
	connecting sendStage = iota
	// accepting holds it when it asks whether the upstream still accepts the request.
	accepting
	// beforeHead and afterHead hold it right before and after the head is written.
	beforeHead
	afterHead
	// readingBody holds it while the rest of a short body is read from the caller.
	readingBody
	// inBody holds it in the middle of a long body.
	inBody
)

// heldSend holds one send at a stage.
type heldSend struct {
	stage sendStage
	// reached is closed when the stage is reached, ended when the send was given up. The send goes on
	// when release is closed.
	reached, ended, release chan struct{}
	// wrote is closed when the first bytes have left.
	wrote                         chan struct{}
	reachOnce, endOnce, wroteOnce sync.Once
	// connected is set once the connection is open, and writes and written count the writes to it and
	// their bytes.
	connected       atomic.Bool
	writes, written atomic.Int64
}

func newHeldSend(stage sendStage) *heldSend {
	return &heldSend{stage: stage, reached: make(chan struct{}), ended: make(chan struct{}), release: make(chan struct{}), wrote: make(chan struct{})}
}

func (h *heldSend) hold() {
	h.reachOnce.Do(func() { close(h.reached) })
	<-h.release
}

func (h *heldSend) end() { h.endOnce.Do(func() { close(h.ended) }) }

// dial opens the connection. It succeeds although its context may have ended meanwhile.
func (h *heldSend) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if h.stage == connecting {
		context.AfterFunc(ctx, h.end)
		h.hold()
	}
	h.connected.Store(true)
	return &heldConn{c, h}, nil
}

// now is the Proxy's clock. The first call after the connection was opened is made by accepts.
func (h *heldSend) now() time.Time {
	if h.stage == accepting && h.connected.Load() {
		h.hold()
	}
	return time.Now()
}

// heldConn is the connection of a heldSend.
type heldConn struct {
	net.Conn
	send *heldSend
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	h, call := c.send, c.send.writes.Add(1)
	if h.stage == beforeHead && call == 1 || h.stage == inBody && call == 2 {
		h.hold()
	}
	n, err := c.Conn.Write(p)
	if h.written.Add(int64(n)) > 0 {
		h.wroteOnce.Do(func() { close(h.wrote) })
	}
	if h.stage == afterHead && call == 1 {
		h.hold()
	}
	return n, err
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.send.end()
	return c.Conn.Close()
}

// body returns the caller's body and its length.
func (h *heldSend) body() (io.Reader, int64) {
	switch h.stage {
	case connecting:
		return nil, 0
	case readingBody:
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, "half")
			<-h.wrote
			h.hold()
			_, _ = io.WriteString(w, "rest")
			w.Close()
		}()
		return r, 8
	case inBody:
		return strings.NewReader(strings.Repeat("x", 10*maxInlineBody)), 10 * maxInlineBody
	}
	return strings.NewReader("b"), 1
}

// TestNodesOwnRefusalsAreTrue guards against promises for requests of which bytes leave after the send was
// given up. Each send is given up at each stage, and then goes on as far as it can.
func TestNodesOwnRefusalsAreTrue(t *testing.T) {
	stages := map[string]struct {
		stage sendStage
		// promise is set if the request certainly does not run.
		promise bool
	}{
		"connecting":       {connecting, true},
		"accepting":        {accepting, false},
		"before the head":  {beforeHead, false},
		"after the head":   {afterHead, false},
		"reading the body": {readingBody, false},
		"in a long body":   {inBody, false},
	}
	causes := map[string]func(e *entry, leave func()){
		"deadline":      func(*entry, func()) {},
		"stop":          func(e *entry, _ func()) { e.ExpireRequests() },
		"suspension":    func(e *entry, _ func()) { e.deadlines.expire(time.Now().Add(time.Hour)) },
		"caller leaves": func(_ *entry, leave func()) { leave() },
	}
	for stageName, s := range stages {
		for causeName, giveUp := range causes {
			if s.stage == inBody && causeName == "caller leaves" {
				// That is noticed once the body is read, which waits for the upstream.
				continue
			}
			t.Run(stageName+", "+causeName, func(t *testing.T) {
				t.Parallel()
				h := newHeldSend(s.stage)
				f := newFakeUpstream(t)
				f.always = hangs
				outcomes := make(chan Outcome, 1)
				e := newEntryWith(t, func(o *Options) {
					o.Now = h.now
					o.Transport = NewPool(PoolOptions{Now: time.Now, Dial: h.dial, DialTimeout: time.Minute})
					o.Observe = func(out Outcome) { outcomes <- out }
				}, []*fakeUpstream{f})
				timeout := "20000"
				if causeName == "deadline" {
					timeout = "1000"
				}
				leave := h.call(t, e, timeout)
				<-h.reached
				giveUp(e, leave)
				<-h.ended
				close(h.release)
				out := <-outcomes
				promise := ImpliesNotRun(out.Status) || out.Verdict == verdict.NotRun
				if promise != s.promise {
					t.Errorf("status %d, verdict %v (%s), %d bytes left, received %d: a promise: %t, want %t", out.Status, out.Verdict, out.Reason, h.written.Load(), len(f.received()), promise, s.promise)
				}
				leave()
				e.transport.(*Pool).CloseAllIdle()
				if n := h.written.Load(); promise && (n > 0 || len(f.received()) > 0) {
					t.Errorf("status %d, verdict %v (%s), but %d bytes left and the upstream received %d requests", out.Status, out.Verdict, out.Reason, n, len(f.received()))
				}
			})
		}
	}
}

// call sends the request and returns a function by which its caller leaves.
func (h *heldSend) call(t *testing.T, e *entry, timeout string) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	body, length := h.body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = length
	req.Header.Set(header.Service, "orders")
	req.Header.Set(header.Deadline, timeout)
	transport := &http.Transport{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		transport.CloseIdleConnections()
	})
	return cancel
}
