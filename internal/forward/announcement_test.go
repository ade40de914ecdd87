package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
)

// observeAt has an upstream of the service orders announce something.
func (e *entry) observeAt(t *testing.T, upstream string, a balance.Announcement) {
	t.Helper()
	b := e.serviceState("orders").balancer
	for {
		c, err := b.Pick(e.now(), e.opt.Rand(), balance.Request{Regions: []string{"muscat"}})
		if err != nil {
			t.Fatal(err)
		}
		if c.ID != upstream {
			defer b.Done(e.now(), c, balance.DoneInfo{Result: balance.Abandoned})
			continue
		}
		b.Observe(e.now(), c, a)
		b.Done(e.now(), c, balance.DoneInfo{Result: balance.Abandoned})
		return
	}
}

// TestRequestIsNotSentAfterItsUpstreamBacksOff has an upstream ask for a backoff while a request for it
// waits for its body. The request must go to the other upstream, once.
func TestRequestIsNotSentAfterItsUpstreamBacksOff(t *testing.T) {
	a, b := newFakeUpstream(t), newFakeUpstream(t)
	route := &model.Route{
		Name: "r", Attempts: 2, Timeout: time.Minute, Affinity: true,
		Services: []model.WeightedService{{Service: "orders", Weight: 1}},
	}
	e := newRoutedEntry(t, 1, route, []*fakeUpstream{a, b})
	e.send(t, http.MethodPost, "/x", "", header.RequestID, "first")
	first, other := a, b
	if len(a.received()) == 0 {
		first, other = b, a
	}
	caller, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	fmt.Fprintf(caller, "POST /x HTTP/1.1\r\nHost: orders\r\n%s: slow\r\nContent-Length: 2\r\n\r\n", header.RequestID)
	for e.serviceState("orders").balancer.InFlight("muscat") == 0 {
		time.Sleep(time.Millisecond)
	}
	announcement := balance.NoAnnouncement()
	announcement.Backoff = time.Minute
	e.observeAt(t, upstreamID(t, e, first), announcement)
	fmt.Fprint(caller, "ab")
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := len(first.received()); n != 1 {
		t.Errorf("%d requests at the upstream that backs off, want only the first", n)
	}
	if n := len(other.received()); n != 1 {
		t.Errorf("%d requests at the other upstream, want 1", n)
	}
}

// upstreamID returns the ID of a fake upstream.
func upstreamID(t *testing.T, e *entry, f *fakeUpstream) string {
	t.Helper()
	for _, u := range e.Snapshot().Services["orders"].Upstreams {
		if u.Address == f.lis.Addr().String() {
			return u.ID
		}
	}
	t.Fatal("unknown upstream")
	return ""
}

// TestRefusalWhileAllUpstreamsBackOff sends requests while all upstreams back off. They must be refused
// at once, with times to return that are no earlier than the first end and that differ.
func TestRefusalWhileAllUpstreamsBackOff(t *testing.T) {
	for _, routed := range []bool{false, true} {
		t.Run("routed "+strconv.FormatBool(routed), func(t *testing.T) {
			fakes := []*fakeUpstream{newFakeUpstream(t), newFakeUpstream(t)}
			var e *entry
			if routed {
				e = newRoutedEntry(t, 1, &model.Route{
					Name: "r", Attempts: 2, Timeout: time.Minute, Affinity: true,
					Services: []model.WeightedService{{Service: "orders", Weight: 1}},
				}, fakes)
			} else {
				e = newEntry(t, fakes)
			}
			for i, f := range fakes {
				announcement := balance.NoAnnouncement()
				announcement.Backoff = time.Duration(20*(i+1)) * time.Second
				e.observeAt(t, upstreamID(t, e, f), announcement)
			}
			times := make(map[string]bool)
			for range 5 {
				got := e.send(t, http.MethodGet, "/x", "")
				after, err := strconv.Atoi(got.header.Get("Retry-After"))
				if got.status != http.StatusServiceUnavailable || err != nil || after < 19 || after > 32 {
					t.Errorf("status %d, Retry-After %q; want 503 and 20 s to 31 s", got.status, got.header.Get("Retry-After"))
				}
				times[got.body] = true
			}
			if len(times) < 2 {
				t.Error("all callers are told the same time")
			}
			for i, f := range fakes {
				if n := len(f.received()); n != 0 {
					t.Errorf("%d requests at upstream %d", n, i)
				}
			}
		})
	}
}
