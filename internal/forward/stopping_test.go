package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

func TestEndsBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name           string
		left, deadline time.Duration
		wait, takes    time.Duration
		running, want  bool
	}{
		{"does not stop", 0, time.Minute, 0, time.Hour, true, true},
		{"fits", 3 * time.Second, time.Minute, 0, 2 * time.Second, false, true},
		{"ends together", 3 * time.Second, time.Minute, 0, 3 * time.Second, false, false},
		{"takes longer", 3 * time.Second, time.Minute, 0, 4 * time.Second, false, false},
		{"is sent too late", 3 * time.Second, time.Minute, 2 * time.Second, 2 * time.Second, false, false},
		{"nothing is known", 3 * time.Second, time.Minute, 0, 0, false, true},
		{"nothing is left", 0, time.Minute, 0, 0, false, false},
		{"deadline comes first", 3 * time.Second, 2 * time.Second, 0, 4 * time.Second, false, true},
	} {
		var end time.Time
		if !tt.running {
			end = now.Add(tt.left)
		}
		if got := endsBefore(end, now.Add(tt.deadline), now.Add(tt.wait), tt.takes); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// TestStopEndsWaits guards against requests that wait in order for an upstream until the entry ends.
func TestStopEndsWaits(t *testing.T) {
	f := newOrderFixture(t, nil)
	f.fill()
	f.send(t.Context(), "/b", "waits")
	f.send(t.Context(), "/a", "urgent")
	f.proxy.StopIn(0)
	for _, id := range []string{"waits", "urgent"} {
		f.await("the request still waits", func() bool { return f.status(id) != 0 })
		if got := f.status(id); got != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", id, got)
		}
	}
	for range fixtureSlots {
		f.finish <- struct{}{}
	}
	f.await("a request that ran is not answered", func() bool { return f.status("busy0") != 0 && f.status("busy3") != 0 })
	if got := f.status("busy0"); got != http.StatusOK {
		t.Errorf("status %d of a request that ran", got)
	}
	if n := len(f.began()); n != fixtureSlots {
		t.Errorf("%d requests ran", n)
	}
}

// TestStopEndsWaitsInLine does the same for requests that wait in the order of their arrival.
func TestStopEndsWaitsInLine(t *testing.T) {
	fake := newFakeUpstream(t)
	fake.always = hangs
	e := newEntry(t, []*fakeUpstream{fake}, tree.Edit{Path: "/services/orders", Key: tree.KeyQueueWait, Value: "10s"})
	const slots = 4
	answers := make(chan result, slots+1)
	for range slots + 1 {
		go func() { answers <- e.send(t, http.MethodPost, "/x", "", header.Repeat, "unsafe") }()
	}
	state := e.serviceState("orders")
	for len(fake.received()) < slots || state.queue.Len() == 0 {
		select {
		case a := <-answers:
			t.Fatalf("answered before the entry stops: status %d: %s, %v", a.status, a.body, a.bodyErr)
		case <-time.After(time.Millisecond):
		}
	}
	e.StopIn(0)
	if a := <-answers; a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || !strings.Contains(a.body, reasonLeaving) {
		t.Errorf("status %d: %s", a.status, a.body)
	}
	e.ExpireRequests()
	for range slots {
		if a := <-answers; a.status != http.StatusGatewayTimeout {
			t.Errorf("status %d of a request that runs", a.status)
		}
	}
	if n := len(fake.received()); n != slots {
		t.Errorf("%d requests ran", n)
	}
}

// stopsInFlight stops a Proxy while the first request is sent, which then fails.
type stopsInFlight struct {
	proxy *Proxy
	// written says whether the request may have been written, and status is that of the response; 0 means
	// that there is none.
	written bool
	status  int
	sent    int
}

// RoundTrip implements http.RoundTripper.
func (s *stopsInFlight) RoundTrip(r *http.Request) (*http.Response, error) {
	s.sent++
	if s.written {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	}
	s.proxy.StopIn(0)
	if s.status != 0 {
		return &http.Response{StatusCode: s.status, Header: http.Header{"X-From": {"upstream"}}, Body: http.NoBody, Request: r}, nil
	}
	return nil, errors.New("broken")
}

// TestStoppingEntryMakesNoFurtherAttempt guards against another attempt that the entry can not finish. The
// answer must not promise more than the attempt before allows.
func TestStoppingEntryMakesNoFurtherAttempt(t *testing.T) {
	for _, tt := range []struct {
		written bool
		status  int
		verdict verdict.Verdict
	}{
		{false, http.StatusServiceUnavailable, verdict.NotRun},
		{true, http.StatusBadGateway, verdict.MayHaveRun},
	} {
		transport := &stopsInFlight{written: tt.written}
		e := newEntryWith(t, func(o *Options) { o.Transport = transport }, []*fakeUpstream{newFakeUpstream(t), newFakeUpstream(t)})
		transport.proxy = e.Proxy
		if a := e.send(t, http.MethodGet, "/x", ""); a.status != tt.status || a.verdict(t) != tt.verdict || transport.sent != 1 {
			t.Errorf("written %v: status %d, verdict %v, %d attempts", tt.written, a.status, a.verdict(t), transport.sent)
		}
	}
}

// TestStoppingEntryDeliversFailure guards against dropping an upstream's failure for an attempt that is then
// not made.
func TestStoppingEntryDeliversFailure(t *testing.T) {
	transport := &stopsInFlight{written: true, status: http.StatusBadGateway}
	e := newEntryWith(t, func(o *Options) { o.Transport = transport }, []*fakeUpstream{newFakeUpstream(t), newFakeUpstream(t)})
	transport.proxy = e.Proxy
	if a := e.send(t, http.MethodGet, "/x", ""); a.status != http.StatusBadGateway || a.header.Get("X-From") == "" || transport.sent != 1 {
		t.Errorf("status %d, %v, %d attempts", a.status, a.header, transport.sent)
	}
}

// TestStopWhileConnecting guards against a request that is written though the entry began to stop while a
// connection was opened for it.
func TestStopWhileConnecting(t *testing.T) {
	fake := newFakeUpstream(t)
	var e *entry
	pool := NewPool(PoolOptions{Now: time.Now, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		e.StopIn(0)
		return new(net.Dialer).DialContext(ctx, network, addr)
	}})
	e = newEntryWith(t, func(o *Options) { o.Transport = pool }, []*fakeUpstream{fake})
	a := e.send(t, http.MethodPost, "/x", "body", header.Repeat, "unsafe")
	if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || len(fake.received()) != 0 {
		t.Errorf("status %d, verdict %v, %d requests ran", a.status, a.verdict(t), len(fake.received()))
	}
}

// TestStoppingPeerIsPassedOver has a peer that stops beside one that does not.
func TestStoppingPeerIsPassedOver(t *testing.T) {
	ofStopping, ofOther := newFakeUpstream(t), newFakeUpstream(t)
	stopping, other := newPeer(t, ofStopping), newPeer(t, ofOther)
	stopping.StopIn(0)
	e, _ := newIsolatedEntry(t, peerOf("n3", stopping.url), peerOf("n2", other.url))
	for range 10 {
		if a := e.send(t, http.MethodPost, "/x", "body", header.Repeat, "unsafe"); a.status != http.StatusOK {
			t.Errorf("status %d: %s", a.status, a.body)
		}
	}
	if len(ofStopping.received()) != 0 || len(ofOther.received()) != 10 {
		t.Errorf("%d and %d requests ran", len(ofStopping.received()), len(ofOther.received()))
	}
}

// TestStoppingEntryHandsNothingOver guards against a handover whose answer the entry can not pass on.
func TestStoppingEntryHandsNothingOver(t *testing.T) {
	fake := newFakeUpstream(t)
	peer := newPeer(t, fake)
	e, _ := newIsolatedEntry(t, peerOf("n2", peer.url))
	e.StopIn(0)
	a := e.send(t, http.MethodPost, "/x", "body", header.Repeat, "unsafe")
	if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || a.header.Get("Retry-After") == "" || len(fake.received()) != 0 {
		t.Errorf("status %d, verdict %v, %v, %d requests ran", a.status, a.verdict(t), a.header, len(fake.received()))
	}
}

// TestStoppingEntryRefusesStalledUpload has a caller send a part of a body on a real connection. The
// refusal must come without the rest.
func TestStoppingEntryRefusesStalledUpload(t *testing.T) {
	fake := newFakeUpstream(t)
	e := newEntry(t, []*fakeUpstream{fake})
	c, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.StopIn(100 * time.Millisecond)
	if _, err := c.Write([]byte("POST /x HTTP/1.1\r\nHost: a\r\n" + header.Service + ": orders\r\n" + header.Repeat + ": unsafe\r\nContent-Length: 100\r\n\r\npart")); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(verdict.Header) != verdict.NotRun.String() || !resp.Close {
		t.Errorf("status %d, %v", resp.StatusCode, resp.Header)
	}
	if n := len(fake.received()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}
