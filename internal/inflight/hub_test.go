package inflight

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/poison"
)

var t0 = time.Unix(1_800_000_000, 0)

func candidates(ids ...string) []Peer {
	out := make([]Peer, len(ids))
	for i, id := range ids {
		out[i] = Peer{ID: id, Domain: "d"}
	}
	return out
}

func TestPickGivesUpASilentHub(t *testing.T) {
	h := newHubs("self")
	order := candidates("a", "b", "self", "c")
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	pick := func(d time.Duration, want string) {
		t.Helper()
		if got := h.pick(order, hubSilence, at(d)).ID; got != want {
			t.Errorf("after %v: %s, want %s", d, got, want)
		}
	}
	pick(0, "a")
	pick(hubSilence-1, "a")
	h.take(Peer{ID: "a"}, &Report{Scope: ScopeOthers}, at(hubSilence-1))
	pick(hubSilence+1, "a")
	pick(2*hubSilence, "b")
	pick(3*hubSilence, "self")
	pick(2*hubSilence+hubAvoid, "a")
}

func TestTheFirstCandidateIsItsOwnHub(t *testing.T) {
	h := newHubs("self")
	for i := range 20 {
		if got := h.pick(candidates("self", "a"), hubSilence, t0.Add(time.Duration(i)*time.Second)).ID; got != "self" {
			t.Errorf("second %d: %s", i, got)
		}
	}
}

func TestReportersAreForgotten(t *testing.T) {
	h := newHubs("self")
	h.take(Peer{ID: "a"}, &Report{Scope: ScopeOwn}, t0)
	h.take(Peer{ID: "b"}, &Report{Scope: ScopeDomain}, t0)
	if got, _ := h.reporting(t0.Add(reporterFresh - 1)); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("%v", got)
	}
	if got, _ := h.reporting(t0.Add(reporterFresh)); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// A hub that took over is answered, though the members still name the one before.
func TestSpeakerIsWhoSpoke(t *testing.T) {
	h := newHubs("self")
	first, second := Peer{ID: "a", Domain: "far"}, Peer{ID: "b", Domain: "far"}
	if got := h.speaker(first, t0); got.ID != "a" {
		t.Errorf("%v", got)
	}
	h.take(second, &Report{Scope: ScopeDomain}, t0)
	if got := h.speaker(first, t0.Add(reporterFresh-1)); got.ID != "b" {
		t.Errorf("%v", got)
	}
	if got := h.speaker(first, t0.Add(reporterFresh)); got.ID != "a" {
		t.Errorf("%v", got)
	}
}

func TestSplitCoversAllUpstreamsOnce(t *testing.T) {
	r := Report{Entry: "e", MaxConnIdle: time.Minute, MaxConnIdleLeft: time.Minute, Leaving: true, Idle: true, Incarnation: 1 << 60, Sequence: 1 << 30}
	for i := range maxAbsent {
		r.Absent = append(r.Absent, uint32(i))
	}
	for i := range 3*maxCounts + 1 {
		r.Counts = append(r.Counts, Count{Upstream: uint32((i * 7919) % 100_003), Requests: i + 1, Failed: 1, Answered: 9})
	}
	parts := r.split()
	next, named := uint64(0), 0
	for _, p := range parts {
		if uint64(p.First) != next {
			t.Errorf("part begins at %d, want %d", p.First, next)
		}
		for _, c := range p.Counts {
			named++
			if c.Upstream < p.First || c.Upstream > p.Last {
				t.Errorf("%d lies outside of %d to %d", c.Upstream, p.First, p.Last)
			}
		}
		if n := len(p.Append(nil)); n > maxDatagram {
			t.Errorf("%d bytes", n)
		}
		next = uint64(p.Last) + 1
	}
	if next != allUpstreams+1 || named != len(r.Counts) {
		t.Errorf("parts end at %d and name %d of %d", next, named, len(r.Counts))
	}
}

// entry is one of a fleet over loopback, with one request at one upstream.
type entry struct {
	peer Peer
	stop context.CancelFunc
	mu   sync.Mutex
	// heard is what each peer was said to have at the upstream, heardAt when.
	heard   map[string]int
	heardAt map[string]time.Time
	// gone are entries whose last reports may still arrive.
	gone    map[string]bool
	changed chan struct{}
	// tracker is told what others say of requests that end upstreams.
	tracker *poison.Tracker
	// idle is set if the entry carries no requests.
	idle atomic.Bool
	// limits are those of upstreams.
	limits *limitBook
}

const theUpstream = 7

func (e *entry) counts(w balance.EntryFilter) []Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	if w.Own && !e.idle.Load() {
		n = 1
	}
	e.forgetSilent()
	for peer, at := range e.heard {
		if w.Peers != nil && w.Peers(peer) {
			n += at
		}
	}
	return []Count{{Upstream: theUpstream, Requests: n}}
}

func (e *entry) take(peer string, r *Report) {
	for _, w := range r.Claims {
		e.tracker.HandleClaim(time.Now(), w)
	}
	if r.Scope == ScopeNone {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone[r.Entry] {
		return
	}
	e.heard[peer], e.heardAt[peer] = 0, time.Now()
	for _, c := range r.Counts {
		e.heard[peer] += c.Requests
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// others is how many requests of others the entry knows.
func (e *entry) others() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetSilent()
	sum := 0
	for _, n := range e.heard {
		sum += n
	}
	return sum
}

// peerFresh is after what time without a report a peer counts for nothing, as it does in
// the balancer.
const peerFresh = time.Second

// forgetSilent drops what peers said that have been silent. While hubs change, one that
// was given up has spoken before of what another now speaks of: without this a count
// stayed too high for ever in 4 of 30 runs, each time by what a hub had said that had been
// silent for 1.6 s to 3.1 s, or by the sum of a hub that had heard it. The caller holds
// the lock.
func (e *entry) forgetSilent() {
	for peer, at := range e.heardAt {
		if time.Since(at) >= peerFresh {
			delete(e.heard, peer)
			delete(e.heardAt, peer)
		}
	}
}

// forget drops what a hub said, as the balancer does with one that is silent, also what
// is still on its way: as nothing follows it, it would count for ever.
func (e *entry) forget(hub string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone[hub] = true
	for _, name := range []string{hub, others + hub, others} {
		delete(e.heard, name)
	}
}

// TestStoppedEntryIsAbsent ends one of four entries that report to each other.
func TestStoppedEntryIsAbsent(t *testing.T) {
	all, exchanges := startExchanges(t, 2)
	for len(exchanges[0].Absent(time.Now())) > 0 {
		time.Sleep(pollEvery)
	}
	all[3].stop()
	for !exchanges[0].Absent(time.Now())[all[3].peer.ID] {
		time.Sleep(pollEvery)
	}
}

// pollEvery is the pause between looks at what an entry believes.
const pollEvery = 10 * time.Millisecond

// startFleet starts entries in two failure domains of one region.
func startFleet(t *testing.T, each int) []*entry {
	all, _ := startExchanges(t, each)
	return all
}

// startExchanges is startFleet that also returns the exchanges.
func startExchanges(t *testing.T, each int) ([]*entry, []*Exchange) {
	var all []*entry
	var exchanges []*Exchange
	for _, domain := range []string{"d1", "d2"} {
		for i := range each {
			e := &entry{heard: make(map[string]int), heardAt: make(map[string]time.Time), gone: make(map[string]bool), changed: make(chan struct{}, 1)}
			e.peer = Peer{ID: fmt.Sprint(domain, "-", i), Domain: domain, SameRegion: true}
			e.tracker = poison.NewTracker(e.peer.ID)
			e.limits = newLimitBook()
			x, err := Listen(Options{
				Address: "127.0.0.1:0", Entry: e.peer.ID, Counts: e.counts, OnReport: e.take, MaxConnIdle: noDoubt, Leaving: func() bool { return false }, OnUnknownSender: func(netip.AddrPort) {},
				Fleet:  func() Fleet { return fleetFor(e, all) },
				Claims: func(n int, relay bool) []poison.Claim { return e.tracker.Claims(time.Now(), n, relay) },
				Busy:   func() bool { return !e.idle.Load() },
				Rates:  e.limits,
			})
			if err != nil {
				t.Fatal(err)
			}
			e.peer.Address = x.conn.LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
			all = append(all, e)
			exchanges = append(exchanges, x)
		}
	}
	for i, x := range exchanges {
		ctx, cancel := context.WithCancel(t.Context())
		all[i].stop = cancel
		go x.Run(ctx)
	}
	return all, exchanges
}

func noDoubt() (rest, left time.Duration) { return 0, 0 }

func fleetFor(self *entry, all []*entry) Fleet {
	var f Fleet
	for _, e := range all {
		if e != self {
			f.Peers = append(f.Peers, e.peer)
		}
		switch {
		case e.peer.Domain == self.peer.Domain:
			f.HubCandidates = append(f.HubCandidates, e.peer)
		case len(f.RemoteHubs) == 0:
			f.RemoteHubs = append(f.RemoteHubs, e.peer)
		}
	}
	return f
}

// untilBound is how long the reports may take. Hubs are given up after up to 1.5 s, and
// passed over for 3 s.
const untilBound = 20 * time.Second

// until waits until the entry knows of a number of requests of others.
func (e *entry) until(t *testing.T, want int) {
	t.Helper()
	bound := time.After(untilBound)
	for e.others() != want {
		select {
		case <-e.changed:
		case <-time.After(pollEvery):
		case <-bound:
			t.Fatalf("%s knows of %d requests, want %d", e.peer.ID, e.others(), want)
		}
	}
}

// TestHubsTellEveryoneOfAll has each entry of a fleet that is too large for direct
// reports learn of all requests, also after the hub of its failure domain has died.
func TestHubsTellEveryoneOfAll(t *testing.T) {
	const each = maxDirect/2 + 2
	all := startFleet(t, each)
	for _, e := range all {
		e.until(t, 2*each-1)
	}
	dead := all[0]
	dead.stop()
	for _, e := range all {
		e.forget(dead.peer.ID)
	}
	for _, e := range all[1:each] {
		e.until(t, 2*each-2)
	}
}

// TestIdleEntryLearnsOfAllOnceBusy has most entries of a large fleet carry no requests.
// One that begins to learns what all others have, and they what it has.
func TestIdleEntryLearnsOfAllOnceBusy(t *testing.T) {
	const each = maxDirect/2 + 2
	all := startFleet(t, each)
	busy := []*entry{all[1], all[each+1]}
	for _, e := range all {
		e.idle.Store(true)
	}
	for _, e := range busy {
		e.idle.Store(false)
	}
	busy[0].until(t, 1)
	began := all[3]
	began.idle.Store(false)
	began.until(t, 2)
	for _, e := range busy {
		e.until(t, 2)
	}
}

// TestHubTellsWhoIsAbsent ends an entry of a large fleet, idle or not: all others of its
// failure domain hear of it, though its registration stands.
func TestHubTellsWhoIsAbsent(t *testing.T) {
	const each = maxDirect/2 + 2
	for _, idle := range []bool{false, true} {
		all, exchanges := startExchanges(t, each)
		for _, e := range all {
			e.idle.Store(idle)
		}
		dead := all[3]
		for _, e := range all {
			if idle {
				break
			}
			e.until(t, 2*each-1)
		}
		dead.stop()
		for i, x := range exchanges[:each] {
			for i != 3 && !x.Absent(time.Now())[dead.peer.ID] {
				time.Sleep(pollEvery)
			}
			if got := x.Absent(time.Now()); i != 3 && len(got) != 1 {
				t.Errorf("idle %v: to %s absent are %v", idle, all[i].peer.ID, got)
			}
		}
	}
}

// TestAHubJudgesOnlyWhomItCouldHear has an entry take over as the hub of its failure
// domain, and then be cut off.
func TestAHubJudgesOnlyWhomItCouldHear(t *testing.T) {
	h := newHubs("self")
	domain := candidates("self", "a", "b", "c")
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	if got := h.absent(domain, at(0)); got != nil {
		t.Errorf("absent before anyone reports: %v", got)
	}
	hear := func(d time.Duration, ids ...string) {
		for _, id := range ids {
			h.take(Peer{ID: id}, &Report{Scope: ScopeOwn, Idle: true}, at(d))
		}
	}
	hear(0, "a")
	if got := h.absent(domain, at(idleReporterFresh-1)); got != nil {
		t.Errorf("absent just after it took over: %v", got)
	}
	hear(idleReporterFresh, "a", "b")
	if got := h.absent(domain, at(idleReporterFresh)); len(got) != 1 || got[0] != "c" {
		t.Errorf("absent: %v, want c", got)
	}
	h.reporting(at(3 * idleReporterFresh))
	if got := h.absent(domain, at(3*idleReporterFresh)); got != nil {
		t.Errorf("absent to one that hears nobody: %v", got)
	}
}
