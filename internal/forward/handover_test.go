package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/reach"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// peerOf returns a member with the ID and address of an entry.
func peerOf(id, url string) model.Member {
	return model.Member{ID: id, Region: "muscat", State: membership.Alive, Entry: strings.TrimPrefix(url, "http://")}
}

// isolate gives an entry the evidence of isolation: no answer at all.
func isolate(t *testing.T, e *entry) {
	t.Helper()
	isolateWith(t, e, func(*reach.Detector, time.Time) {})
}

// isolateWith does the same with further evidence.
func isolateWith(t *testing.T, e *entry, more func(d *reach.Detector, now time.Time)) {
	t.Helper()
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	d := e.Reach()
	d.SetKnown(reach.Known{Upstreams: 3, Domains: 2})
	d.RecordAnswer(at(-1400), reach.Attempt{NewConnection: true})
	for i := range 3 {
		d.RecordFailure(at(-1200+300*i), reach.Attempt{Upstream: reach.Upstream{ID: fmt.Sprint("u", i), Domain: fmt.Sprint("d", i%2)}, Sent: at(-1300 + 300*i), NewConnection: true})
	}
	for ms := -1500; ms <= 0; ms += 100 {
		d.RecordPeerAnswers(at(ms), "peer")
	}
	more(d, now)
	e.evaluateReach()
	if !d.Isolated() {
		t.Fatal("the entry is not isolated")
	}
}

// newIsolatedEntry returns an isolated entry that hands requests over to peers.
func newIsolatedEntry(t *testing.T, peers ...model.Member) (*entry, *[]Outcome) {
	var outcomes []Outcome
	e := newEntryWith(t, func(o *Options) {
		o.Self = "n1"
		o.Peers = func() Peers { return Peers{Usable: peers, InRegion: len(peers) + 1} }
		o.Observe = func(out Outcome) { outcomes = append(outcomes, out) }
	}, []*fakeUpstream{newUnreachableUpstream(t)})
	isolate(t, e)
	return e, &outcomes
}

// newPeer returns an entry that knows where handovers come from.
func newPeer(t *testing.T, fakes ...*fakeUpstream) *entry {
	return newEntryWith(t, func(o *Options) {
		o.Self = "n2"
		o.IsPeer = func(id string, ip netip.Addr) bool { return id == "n1" && ip.IsLoopback() }
	}, fakes)
}

// newEntryBesidePeer returns an entry in front of an upstream, with a peer, and the peer's upstream.
func newEntryBesidePeer(t *testing.T, upstream *fakeUpstream) (e *entry, ofPeer *fakeUpstream) {
	ofPeer = newFakeUpstream(t)
	peer := newPeer(t, ofPeer)
	return newEntryWith(t, func(o *Options) {
		o.Self = "n1"
		o.Peers = func() Peers { return Peers{Usable: []model.Member{peerOf("n2", peer.url)}, InRegion: 2} }
	}, []*fakeUpstream{upstream}), ofPeer
}

func TestIsolatedEntryHandsOver(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		fake := newFakeUpstream(t)
		peer := newPeer(t, fake)
		e, outcomes := newIsolatedEntry(t, peerOf("n2", peer.url))
		body := ""
		if method == "POST" {
			body = strings.Repeat("reading ", 20_000)
		}
		a := e.send(t, method, "/x?y=1", body, header.RequestID, "id-1", "X-Own", "kept")
		if a.status != http.StatusOK || a.header.Get(header.RequestID) != "id-1" {
			t.Fatalf("%s: status %d: %s", method, a.status, a.body)
		}
		got := fake.received()
		if len(got) != 1 || got[0].body != body || got[0].id != "id-1" {
			t.Fatalf("%s: the upstream received %d requests", method, len(got))
		}
		if o := (*outcomes)[0]; o.Peer != "n2" || o.Verdict != verdict.Ran {
			t.Errorf("%s: outcome %+v", method, o)
		}
		if s := peer.HandoverStatus(); s.Received != 1 {
			t.Errorf("%s: the peer counts %+v", method, s)
		}
		if s := e.HandoverStatus(); s.Sent != 1 || s.InFlight != 0 {
			t.Errorf("%s: the entry counts %+v", method, s)
		}
		if n := e.ReachStatus().Failures; n != 3 {
			t.Errorf("%s: the isolated entry tried an upstream itself: %d failures, want the 3 of the evidence", method, n)
		}
	}
}

// TestRequestsInFlightMoveToPeers isolates an entry while a request that is safe to repeat is at an
// upstream that does not answer.
func TestRequestsInFlightMoveToPeers(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-end
	}))
	defer silent.Close()
	defer close(end)
	e, fake := newEntryBesidePeer(t, &fakeUpstream{lis: silent.Listener})
	answer := make(chan result, 1)
	go func() { answer <- e.send(t, "GET", "/x", "") }()
	<-started
	isolate(t, e)
	if a := <-answer; a.status != http.StatusOK || len(fake.received()) != 1 {
		t.Errorf("status %d: %s", a.status, a.body)
	}
}

// TestRequestsOnOpenConnectionsStay isolates an entry whose open connections work, while a request is
// at an upstream. The request must get its answer from there.
func TestRequestsOnOpenConnectionsStay(t *testing.T) {
	started, end := make(chan struct{}), make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-end
		fmt.Fprint(w, "slow")
	}))
	defer slow.Close()
	finish := sync.OnceFunc(func() { close(end) })
	defer finish()
	e, fake := newEntryBesidePeer(t, &fakeUpstream{lis: slow.Listener})
	answer := make(chan result, 1)
	go func() { answer <- e.send(t, "GET", "/x", "") }()
	<-started
	isolateWith(t, e, func(d *reach.Detector, now time.Time) { d.RecordAnswer(now, reach.Attempt{}) })
	finish()
	if a := <-answer; a.body != "slow" || len(fake.received()) != 0 {
		t.Errorf("status %d: %s; the peer's upstream received %d requests", a.status, a.body, len(fake.received()))
	}
}

// TestHandoverIsOneHop hands a request over to an entry that is isolated itself. It must refuse the
// request, and the next peer gets it.
func TestHandoverIsOneHop(t *testing.T) {
	fake := newFakeUpstream(t)
	works := newPeer(t, fake)
	isolated, _ := newIsolatedEntry(t, peerOf("n2", works.url))
	first := peerOf("n3", isolated.url)
	first.Domain = "cut"
	e, _ := newIsolatedEntry(t, first)
	if a := e.send(t, "POST", "/x", "b"); a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun || len(fake.received()) != 0 {
		t.Errorf("status %d, the upstream received %d requests", a.status, len(fake.received()))
	}
	both, _ := newIsolatedEntry(t, first, peerOf("n2", works.url))
	for range 40 {
		if a := both.send(t, "POST", "/x", "b"); a.status != http.StatusOK {
			t.Errorf("status %d: %s", a.status, a.body)
		}
	}
}

// TestHandoverKeepsVerdict passes on what a peer says about a request that it could not serve.
func TestHandoverKeepsVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour behaviour
		want      verdict.Verdict
		status    int
	}{
		"the upstream broke off": {closesAfterRead, verdict.MayHaveRun, http.StatusBadGateway},
		"no upstream took it":    {sheds, verdict.NotRun, http.StatusServiceUnavailable},
	} {
		fake := newFakeUpstream(t)
		fake.always = c.behaviour
		peer := newPeer(t, fake)
		e, _ := newIsolatedEntry(t, peerOf("n2", peer.url))
		a := e.send(t, "POST", "/x", "b", header.Repeat, "unsafe", header.Deadline, "500")
		if a.status != c.status || a.verdict(t) != c.want {
			t.Errorf("%s: status %d, verdict %v, want %d, %v", name, a.status, a.verdict(t), c.status, c.want)
		}
	}
}

// TestPeerThatBreaksOffIsNotRepeated breaks the connection of a handover after the request was read.
func TestPeerThatBreaksOffIsNotRepeated(t *testing.T) {
	breaks, other := newFakeUpstream(t), newFakeUpstream(t)
	breaks.always = closesAfterRead
	e, _ := newIsolatedEntry(t, peerOf("n2", breaks.lis.Addr().String()))
	a := e.send(t, "POST", "/x", "b", header.Repeat, "unsafe")
	if a.status != http.StatusBadGateway || a.verdict(t) != verdict.MayHaveRun || len(other.received()) != 0 {
		t.Errorf("status %d, verdict %v", a.status, a.verdict(t))
	}
}

// TestUnreachablePeerIsPassedOver has a peer that refuses connections beside one that works.
func TestUnreachablePeerIsPassedOver(t *testing.T) {
	fake := newFakeUpstream(t)
	peer := newPeer(t, fake)
	dead := newUnreachableUpstream(t)
	e, _ := newIsolatedEntry(t, peerOf("n3", dead.lis.Addr().String()), peerOf("n2", peer.url))
	for i := range 10 {
		if a := e.send(t, "POST", "/x", "b", header.Repeat, "unsafe", header.RequestID, fmt.Sprint("id-", i)); a.status != http.StatusOK {
			t.Errorf("request %d: status %d: %s", i, a.status, a.body)
		}
	}
	if n := len(fake.received()); n != 10 {
		t.Errorf("the upstream received %d requests, want 10", n)
	}
}

// TestHandoverHeaders checks which of a caller's headers an entry believes.
func TestHandoverHeaders(t *testing.T) {
	p := New(Options{Now: time.Now, IsPeer: func(id string, ip netip.Addr) bool { return id == "n1" && ip == netip.MustParseAddr("10.0.0.1") }})
	for name, c := range map[string]struct {
		from, remote string
		caller       string
		attempts     int
	}{
		"by a peer":              {"n1", "10.0.0.1:4000", "192.0.2.7", 2},
		"by another address":     {"n1", "10.0.0.9:4000", "10.0.0.9", 0},
		"by an unknown entry":    {"n7", "10.0.0.1:4000", "10.0.0.1", 0},
		"by no entry":            {"", "10.0.0.1:4000", "10.0.0.1", 0},
		"by a peer, mapped IPv4": {"n1", "[::ffff:10.0.0.1]:4000", "192.0.2.7", 2},
	} {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		r.RemoteAddr = c.remote
		if c.from != "" {
			setHandover(r.Header, handover{From: c.from, Caller: "192.0.2.7", Attempts: 2})
		}
		o := p.takeHandover(r)
		if (o != nil) != (c.from != "") {
			t.Errorf("%s: handover %+v", name, o)
			continue
		}
		if o != nil && o.Attempts != c.attempts || callerIP(r) != c.caller {
			t.Errorf("%s: %+v, caller %s, want %d attempts, caller %s", name, o, callerIP(r), c.attempts, c.caller)
		}
		for h := range r.Header {
			if strings.HasPrefix(h, "Loomkeel-Handover") {
				t.Errorf("%s: header %s is left", name, h)
			}
		}
	}
}

// TestCallerLeavesDuringHandover cancels an idempotent request that a peer handles. The upstream's
// connection must close.
func TestCallerLeavesDuringHandover(t *testing.T) {
	started, left := make(chan struct{}, 1), make(chan struct{}, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		left <- struct{}{}
	}))
	defer upstream.Close()
	lis := upstream.Listener
	peer := newPeer(t, &fakeUpstream{lis: lis})
	e, _ := newIsolatedEntry(t, peerOf("n2", peer.url))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(header.Service, "orders")
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}()
	<-started
	cancel()
	select {
	case <-left:
	case <-time.After(10 * time.Second):
		t.Error("the upstream still works for a caller that left")
	}
}

// TestPeersAreChosenByPlaceAndLoad checks that handovers stay in the region while enough entries are
// left there, keep to the allowed regions, and go to the less loaded of two peers.
func TestPeersAreChosenByPlaceAndLoad(t *testing.T) {
	now := time.Now()
	member := func(id, region string) model.Member {
		return model.Member{ID: id, Region: region, Domain: region + "-a", Entry: net.JoinHostPort("10.0.0.1", "80")}
	}
	all := []model.Member{member("m1", "muscat"), member("m2", "muscat"), member("s1", "sohar"), member("s2", "sohar"), member("l1", "salalah")}
	chosen := func(peers Peers, allows func(string) bool) map[string]int {
		s, out := newPeerPicker(), make(map[string]int)
		for range 300 {
			m, ok := s.pick(now, peers, "muscat", allows, nil)
			if ok {
				s.begin(m.ID)
				out[m.ID]++
			}
		}
		return out
	}
	if got := chosen(Peers{all, 4}, nil); got["m1"]+got["m2"] != 300 || got["m1"] < 140 || got["m2"] < 140 {
		t.Errorf("two of four entries of the region are left: %v", got)
	}
	if got := chosen(Peers{all[1:], 4}, nil); len(got) != 4 || got["m2"] > 90 {
		t.Errorf("one of four entries of the region is left: %v", got)
	}
	if got := chosen(Peers{all, 4}, func(region string) bool { return region == "salalah" }); got["l1"] != 300 {
		t.Errorf("only one region is allowed: %v", got)
	}
	if got := chosen(Peers{all, 4}, func(string) bool { return false }); len(got) != 0 {
		t.Errorf("no region is allowed: %v", got)
	}
}

// TestDomainOfIsolatedPeerIsAvoided checks that a peer that is isolated itself keeps its failure
// domain from being chosen for a while, and one that cannot be reached only itself.
func TestDomainOfIsolatedPeerIsAvoided(t *testing.T) {
	now := time.Now()
	peers := Peers{InRegion: 3}
	for _, id := range []string{"a1", "a2", "b1"} {
		peers.Usable = append(peers.Usable, model.Member{ID: id, Region: "muscat", Domain: id[:1], Entry: "10.0.0.1:80"})
	}
	chosen := func(s *peerPicker, at time.Time) map[string]bool {
		out := make(map[string]bool)
		for range 100 {
			if m, ok := s.pick(at, peers, "muscat", nil, nil); ok {
				out[m.ID] = true
			}
		}
		return out
	}
	s := newPeerPicker()
	s.avoid(peers.Usable[0], true, now)
	if got := chosen(s, now); len(got) != 1 || !got["b1"] {
		t.Errorf("beside an isolated peer: %v", got)
	}
	if got := chosen(s, now.Add(peerAvoidTime)); len(got) != 3 {
		t.Errorf("later: %v", got)
	}
	s = newPeerPicker()
	s.avoid(peers.Usable[0], false, now)
	if got := chosen(s, now); len(got) != 2 || got["a1"] {
		t.Errorf("beside an unreachable peer: %v", got)
	}
}

// TestIsolatedEntryReportsNoLoad checks that other entries are told neither of requests that hang at
// an isolated entry nor of failures, and that failures are withheld while the entry's links are
// suspected.
func TestIsolatedEntryReportsNoLoad(t *testing.T) {
	var started atomic.Int64
	end := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started.Add(1)
		<-end
	}))
	defer silent.Close()
	defer close(end)
	e := newEntry(t, []*fakeUpstream{{lis: silent.Listener}, newUnreachableUpstream(t)})
	visited := func() (requests int, failed float64) {
		e.VisitLoads(balance.EntryFilter{Own: true}, func(_ uint32, l balance.Load) {
			requests += l.Requests
			failed += l.Failed
		})
		return requests, failed
	}
	send := func() {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/x", strings.NewReader("b"))
		if err != nil {
			t.Error(err)
			return
		}
		req.Header.Set(header.Service, "orders")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}
	for started.Load() == 0 || !e.Reach().Failing() {
		go send()
		time.Sleep(10 * time.Millisecond)
	}
	if requests, failed := visited(); requests == 0 || failed != 0 {
		t.Errorf("while the links are suspected: %d requests, %v failures reported", requests, failed)
	}
	isolate(t, e)
	if requests, failed := visited(); requests != 0 || failed != 0 {
		t.Errorf("while isolated: %d requests, %v failures reported", requests, failed)
	}
}
