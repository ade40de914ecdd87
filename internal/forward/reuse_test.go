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

func TestRests(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	var r rests
	expect := func(after, rest, until time.Duration) {
		t.Helper()
		d := r.current(t0.Add(after))
		if d.MaxIdle != rest || !d.Until.IsZero() && d.Until.Sub(t0) != until {
			t.Errorf("after %v: %v until %v", after, d.MaxIdle, d.Until.Sub(t0))
		}
	}
	expect(0, 0, 0)
	r.broke(400*time.Millisecond, t0)
	expect(0, 200*time.Millisecond, doubtFor)
	r.broke(2*time.Second, t0.Add(time.Second))
	expect(time.Second, 200*time.Millisecond, time.Second+doubtFor)
	r.heard(ReuseLimit{100 * time.Millisecond, t0.Add(2 * time.Second)}, t0.Add(time.Second))
	expect(time.Second, 100*time.Millisecond, time.Second+doubtFor)
	r.heard(ReuseLimit{time.Millisecond, t0}, t0.Add(time.Second))
	expect(2*time.Second, 100*time.Millisecond, time.Second+doubtFor)
	expect(time.Second+doubtFor, 0, 0)
}

// TestDoubtEndsThoughItIsTold has two entries tell each other a doubt with a delay. It
// must end at both soon after the time that it was to hold.
func TestDoubtEndsThoughItIsTold(t *testing.T) {
	const way, period = 120 * time.Millisecond, 200 * time.Millisecond
	t0 := time.Unix(1_800_000_000, 0)
	var a, b rests
	a.broke(400*time.Millisecond, t0)
	tell := func(from, to *rests, now time.Time) {
		if d := from.current(now); !d.Until.IsZero() {
			left := d.Until.Sub(now)
			to.heard(ReuseLimit{d.MaxIdle, now.Add(way + left)}, now.Add(way))
		}
	}
	end := t0.Add(doubtFor + 2*echoSlack)
	for now := t0; now.Before(end); now = now.Add(period) {
		tell(&a, &b, now)
		tell(&b, &a, now.Add(way))
	}
	for name, r := range map[string]*rests{"a": &a, "b": &b} {
		if d := r.current(end); !d.Until.IsZero() {
			t.Errorf("%s still doubts rests over %v, until %v after the end", name, d.MaxIdle, d.Until.Sub(end))
		}
	}
}

// A warm upstream that loses an answer breaks its connection later than one that has
// forgotten it, wherever it stands.
func TestPromptly(t *testing.T) {
	for _, tt := range []struct {
		took, connect time.Duration
		want          bool
	}{
		{time.Millisecond, time.Millisecond, true},
		{150 * time.Millisecond, time.Millisecond, false},
		{111 * time.Millisecond, 110 * time.Millisecond, true},
		{260 * time.Millisecond, 110 * time.Millisecond, false},
	} {
		if got := promptly(tt.took, tt.connect); got != tt.want {
			t.Errorf("broke after %v, connected in %v: %v", tt.took, tt.connect, got)
		}
	}
}

// forgetful is an upstream that forgets its first connection after one answer: it
// resets whatever comes on it next.
func forgetful(n int, c net.Conn, r *bufio.Reader) {
	for answered := 0; ; answered++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n == 0 && answered > 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", idHeader, req.Header.Get(idHeader))
	}
}

// TestForgottenConnections has an upstream forget a connection that rested. From
// then on no request that may run only once goes on a connection that rested for
// long. Before, a fifth of all photographs and redemptions were lost while such a
// fault lasted.
func TestForgottenConnections(t *testing.T) {
	s := newScript(t, forgetful)
	now := time.Unix(1_800_000_000, 0)
	p := newTestPool()
	p.opt.Now = func() time.Time { return now }
	n := 0
	send := func(once bool) error {
		n++
		ctx := t.Context()
		if once {
			ctx = withOnce(ctx)
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
		t.Fatal("a request on a forgotten connection was answered")
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

func (s *script) get(ctx context.Context, p *Pool, id string) error {
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
