package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"
)

func TestReuseLimiter(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	var r reuseLimiter
	expect := func(after, maxIdle, until time.Duration) {
		t.Helper()
		d := r.current(t0.Add(after))
		if d.MaxConnIdle != maxIdle || !d.Until.IsZero() && d.Until.Sub(t0) != until {
			t.Errorf("after %v: limit %v until %v", after, d.MaxConnIdle, d.Until.Sub(t0))
		}
	}
	expect(0, 0, 0)
	r.recordBreak(400*time.Millisecond, t0)
	expect(0, 200*time.Millisecond, reuseLimitDuration)
	r.recordBreak(2*time.Second, t0.Add(time.Second))
	expect(time.Second, 200*time.Millisecond, time.Second+reuseLimitDuration)
	r.merge(ReuseLimit{100 * time.Millisecond, t0.Add(2 * time.Second)}, t0.Add(time.Second))
	expect(time.Second, 100*time.Millisecond, time.Second+reuseLimitDuration)
	r.merge(ReuseLimit{time.Millisecond, t0}, t0.Add(time.Second))
	expect(2*time.Second, 100*time.Millisecond, time.Second+reuseLimitDuration)
	expect(time.Second+reuseLimitDuration, 0, 0)
}

// TestReuseLimitEndsDespiteExchange makes two entries send each other a limit with a delay. The
// limit must end at both soon after its original end.
func TestReuseLimitEndsDespiteExchange(t *testing.T) {
	const delay, period = 120 * time.Millisecond, 200 * time.Millisecond
	t0 := time.Unix(1_800_000_000, 0)
	var a, b reuseLimiter
	a.recordBreak(400*time.Millisecond, t0)
	send := func(from, to *reuseLimiter, now time.Time) {
		if d := from.current(now); !d.Until.IsZero() {
			left := d.Until.Sub(now)
			to.merge(ReuseLimit{d.MaxConnIdle, now.Add(delay + left)}, now.Add(delay))
		}
	}
	end := t0.Add(reuseLimitDuration + 2*mergeSlack)
	for now := t0; now.Before(end); now = now.Add(period) {
		send(&a, &b, now)
		send(&b, &a, now.Add(delay))
	}
	for name, r := range map[string]*reuseLimiter{"a": &a, "b": &b} {
		if d := r.current(end); !d.Until.IsZero() {
			t.Errorf("%s still has the limit %v, which holds until %v after the end", name, d.MaxConnIdle, d.Until.Sub(end))
		}
	}
}

// TestResetPromptly checks that a lost response of an upstream that still has the connection
// does not count as a prompt reset, for near and distant upstreams.
func TestResetPromptly(t *testing.T) {
	for _, tt := range []struct {
		took, connect time.Duration
		want          bool
	}{
		{time.Millisecond, time.Millisecond, true},
		{150 * time.Millisecond, time.Millisecond, false},
		{111 * time.Millisecond, 110 * time.Millisecond, true},
		{260 * time.Millisecond, 110 * time.Millisecond, false},
	} {
		if got := resetPromptly(tt.took, tt.connect); got != tt.want {
			t.Errorf("broke after %v, connected in %v: prompt is %v", tt.took, tt.connect, got)
		}
	}
}

// dropConnState serves an upstream that loses the state of its first connection after one
// response: it resets the connection at the next request.
func dropConnState(n int, c net.Conn, r *bufio.Reader) {
	for responses := 0; ; responses++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n == 0 && responses > 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", idHeader, req.Header.Get(idHeader))
	}
}

// TestIdleConnectionsAfterReset makes an upstream reset a connection that was idle. From then
// on a request that may run only once must not be sent on a connection that was idle for long.
// Without this rule a fifth of such requests were lost while the fault lasted.
func TestIdleConnectionsAfterReset(t *testing.T) {
	s := newScriptedUpstream(t, dropConnState)
	now := time.Unix(1_800_000_000, 0)
	p := newTestPool()
	p.opt.Now = func() time.Time { return now }
	n := 0
	send := func(once bool) error {
		n++
		ctx := t.Context()
		if once {
			ctx = withNonIdempotent(ctx)
		}
		return s.get(ctx, p, fmt.Sprint(n))
	}
	conns := func(want int) {
		t.Helper()
		if got := len(s.conns); got != want {
			t.Errorf("%d connections after request %d, want %d", got, n, want)
		}
	}
	if err := send(true); err != nil {
		t.Fatal(err)
	}
	now = now.Add(400 * time.Millisecond)
	if err := send(true); err == nil {
		t.Fatal("a request on a reset connection got a response")
	}
	conns(1)
	if err := send(true); err != nil {
		t.Fatal(err)
	}
	conns(2)
	now = now.Add(300 * time.Millisecond)
	if err := send(false); err != nil {
		t.Fatal(err)
	}
	conns(2)
	now = now.Add(300 * time.Millisecond)
	if err := send(true); err != nil {
		t.Fatal(err)
	}
	conns(3)
	now = now.Add(100 * time.Millisecond)
	if err := send(true); err != nil {
		t.Fatal(err)
	}
	conns(3)
}

func (s *scriptedUpstream) get(ctx context.Context, p *Pool, id string) error {
	req := &http.Request{
		Method: http.MethodGet, Host: "x", Header: http.Header{idHeader: {id}},
		URL: &url.URL{Scheme: "http", Host: s.lis.Addr().String(), Opaque: "/"},
	}
	resp, err := p.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return err
	}
	discard(resp)
	return nil
}
