package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// TestUnnamedRefusalOnAUsedConnectionIsNotBelieved guards against a late copy of a refusal that names no
// request. The next order gets a new connection, on which a refusal can belong to no other request.
func TestUnnamedRefusalOnAUsedConnectionIsNotBelieved(t *testing.T) {
	f := newFakeUpstream(t, responds, shedsUnnamed, shedsUnnamed, responds)
	e := newEntry(t, []*fakeUpstream{f})
	for i, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		got := e.send(t, http.MethodPost, "/x", "", header.RequestID, fmt.Sprint("order-", i))
		for got.status == http.StatusServiceUnavailable {
			// The upstream gets no requests for a moment after it has refused one.
			time.Sleep(10 * time.Millisecond)
			got = e.send(t, http.MethodPost, "/x", "", header.RequestID, fmt.Sprint("order-", i))
		}
		if got.status != want {
			t.Errorf("order %d: status %d, want %d", i, got.status, want)
		}
	}
	if got, want := e.RefusalCounts(), (RefusalCounts{First: 1, Later: 1}); got != want {
		t.Errorf("refusals %+v, want %+v", got, want)
	}
}

// TestBytesBeforeTheRequestAreNoAnswer guards against an upstream that writes a refusal when a connection
// opens, and then runs the request.
func TestBytesBeforeTheRequestAreNoAnswer(t *testing.T) {
	early := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
		if _, err := readRequest(r); err == nil {
			t.Error("the request was sent")
		}
	})
	p := NewPool(PoolOptions{Now: time.Now, Dial: dialAndAwaitBytes})
	if got, err := early.send(t, p, "a", "/", nil, 0); err == nil {
		t.Errorf("the request got %q", got)
	}
}

// dialAndAwaitBytes opens a connection and waits until the other end has written to it.
func dialAndAwaitBytes(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return c, raw.Read(func(fd uintptr) bool {
		n, _, _ := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return n > 0
	})
}

// TestRefusalOfAnotherRequestIsNotBelieved guards against a refusal that names another request.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	resp := &http.Response{StatusCode: http.StatusTooManyRequests, Header: http.Header{header.RequestID: {"another"}}, Request: new(http.Request)}
	svc := &model.Service{NotRunStatuses: []int{http.StatusTooManyRequests}}
	if got := (Native{}).ParseResponse(resp, &RequestInfo{ID: "order"}, svc); got.NotRunReason != "" || got.InvalidReason != ReasonMismatch {
		t.Errorf("%+v, want a mismatch", got)
	}
}

// TestUnnamedRefusalOfASafeRequestIsRetried guards against a promise that nothing proves. The caller learns
// when to come back all the same.
func TestUnnamedRefusalOfASafeRequestIsRetried(t *testing.T) {
	a, b := newFakeUpstream(t, responds), newFakeUpstream(t, responds)
	a.always, b.always = shedsUnnamed, shedsUnnamed
	e := newEntry(t, []*fakeUpstream{a, b})
	for range 2 {
		e.send(t, http.MethodGet, "/x", "")
	}
	got := e.send(t, http.MethodGet, "/x", "")
	if got.status != http.StatusBadGateway || got.verdict(t) != verdict.MayHaveRun || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, verdict %v, %v", got.status, got.verdict(t), got.header)
	}
	if n := e.RefusalCounts(); n.Later < 2 {
		t.Errorf("%+v, want the refusal to be retried", n)
	}
}

// BenchmarkUnnamedRefusals records refusals while many upstreams refuse.
func BenchmarkUnnamedRefusals(b *testing.B) {
	u, now := newUnnamedRefusals(), time.Now()
	for i := range 3400 {
		u.add(fmt.Sprint("10.0.0.1:", i), now)
	}
	for b.Loop() {
		u.add("10.0.0.1:7", now)
	}
}

// TestUnnamedRefusalsAreForgotten guards against a memory that ends while an upstream still refuses, or
// never.
func TestUnnamedRefusalsAreForgotten(t *testing.T) {
	u, now := newUnnamedRefusals(), time.Now()
	for i := range 200 {
		u.add("10.0.0.1:80", now.Add(time.Duration(i)*time.Second/2))
	}
	last := now.Add(99 * time.Second)
	if !u.has("10.0.0.1:80", last.Add(unnamedMemory-time.Millisecond)) || u.has("10.0.0.1:80", last.Add(unnamedMemory+time.Second)) {
		t.Errorf("remembered until %v", u.until)
	}
	u.add("10.0.0.2:80", last.Add(2*unnamedMemory))
	if len(u.until) != 1 {
		t.Errorf("%d upstreams are remembered, want the latest alone", len(u.until))
	}
}

// TestUnnamedRefusalOfAnotherTransportIsNotBelieved guards against a transport whose connections are not
// known: they may have carried others.
func TestUnnamedRefusalOfAnotherTransportIsNotBelieved(t *testing.T) {
	f := newFakeUpstream(t, shedsUnnamed)
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	e := newEntryWith(t, func(o *Options) { o.Transport = transport }, []*fakeUpstream{f})
	if got := e.send(t, http.MethodPost, "/x", "", header.RequestID, "order-1"); got.status != http.StatusBadGateway {
		t.Errorf("status %d", got.status)
	}
}
