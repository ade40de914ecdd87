package inflight

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/rollout"
)

// t0 is the start time of the tests that pass the time in.
var t0 = time.Unix(1_800_000_000, 0)

// candidates returns peers of one failure domain.
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
		if got := h.pick(order, hubTimeout, at(d)).ID; got != want {
			t.Errorf("after %v: %s, want %s", d, got, want)
		}
	}
	pick(0, "a")
	pick(hubTimeout-1, "a")
	h.record(Peer{ID: "a"}, &Report{Scope: ScopeOthers}, at(hubTimeout-1))
	pick(hubTimeout+1, "a")
	pick(2*hubTimeout, "b")
	pick(3*hubTimeout, "self")
	pick(2*hubTimeout+hubAvoidTime, "a")
}

func TestFirstCandidateIsItsOwnHub(t *testing.T) {
	h := newHubs("self")
	for i := range 20 {
		if got := h.pick(candidates("self", "a"), hubTimeout, t0.Add(time.Duration(i)*time.Second)).ID; got != "self" {
			t.Errorf("after %d s: hub is %s, want self", i, got)
		}
	}
}

func TestReportersExpire(t *testing.T) {
	h := newHubs("self")
	h.record(Peer{ID: "a"}, &Report{Scope: ScopeOwn}, t0)
	h.record(Peer{ID: "b"}, &Report{Scope: ScopeDomain}, t0)
	if got, _ := h.activeReporters(t0.Add(reporterTimeout - 1)); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("%v", got)
	}
	if got, _ := h.activeReporters(t0.Add(reporterTimeout)); len(got) != 0 {
		t.Errorf("%v", got)
	}
}

// TestRemoteHubIsLastReporter checks that a hub that took over gets the reports even while the
// member list names its predecessor.
func TestRemoteHubIsLastReporter(t *testing.T) {
	h := newHubs("self")
	first, second := Peer{ID: "a", Domain: "far"}, Peer{ID: "b", Domain: "far"}
	if got := h.remoteHub(first, t0); got.ID != "a" {
		t.Errorf("%v", got)
	}
	h.record(second, &Report{Scope: ScopeDomain}, t0)
	if got := h.remoteHub(first, t0.Add(reporterTimeout-1)); got.ID != "b" {
		t.Errorf("%v", got)
	}
	if got := h.remoteHub(first, t0.Add(reporterTimeout)); got.ID != "a" {
		t.Errorf("%v", got)
	}
}

func TestSplitCoversAllUpstreamsOnce(t *testing.T) {
	r := Report{Entry: "e", MaxConnIdle: time.Minute, MaxConnIdleLeft: time.Minute, Leaving: true, Idle: true, Incarnation: 1 << 60, Sequence: 1 << 30}
	for i := range maxAbsent {
		r.Absent = append(r.Absent, uint32(i))
	}
	for i := range 3*maxCounts + 1 {
		r.Counts = append(r.Counts, countOf(uint32((i*7919)%100_003), i+1, 1, 9, 0, false))
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
			t.Errorf("report has %d bytes, more than a datagram", n)
		}
		next = uint64(p.Last) + 1
	}
	if next != allUpstreams+1 || named != len(r.Counts) {
		t.Errorf("parts end at %d and have %d of %d counts", next, named, len(r.Counts))
	}
}

// entry is an entry of a fleet over loopback, with one request at one upstream.
type entry struct {
	peer Peer
	stop context.CancelFunc
	mu   sync.Mutex
	// reported has the requests at the upstream by the peer that reported them, reportedAt
	// the times of the reports.
	reported   map[string]int
	reportedAt map[string]time.Time
	// ignored are stopped entries, whose last reports may still arrive.
	ignored map[string]bool
	changed chan struct{}
	// tracker gets the Claims that other entries report.
	tracker *poison.Tracker
	// idle is set if the entry has no requests.
	idle atomic.Bool
	// upstreamLimits are the limits of upstreams.
	upstreamLimits *fakeUpstreamLimits
	// rollouts has the evidence on new versions.
	rollouts *rollout.Tracker
	demand   *demand.Tracker
}

// testUpstream is the hash of the only upstream.
const testUpstream = 7

// counts implements Options.Counts.
func (e *entry) counts(filter balance.EntryFilter) []Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	if filter.Own && !e.idle.Load() {
		n = 1
	}
	e.dropSilent()
	for peer, requests := range e.reported {
		if filter.Peers != nil && filter.Peers(peer) {
			n += requests
		}
	}
	return []Count{countOf(testUpstream, n, 0, 0, 0, false)}
}

// onReport implements Options.OnReport.
func (e *entry) onReport(peer string, r *Report) {
	for _, claim := range r.Claims {
		e.tracker.ApplyClaim(time.Now(), claim)
	}
	if r.Scope == ScopeNone {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ignored[r.Entry] {
		return
	}
	e.reported[peer], e.reportedAt[peer] = 0, time.Now()
	for _, c := range r.Counts {
		e.reported[peer] += c.Requests
	}
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// knownRequests returns the number of requests of other entries according to their reports.
func (e *entry) knownRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropSilent()
	sum := 0
	for _, n := range e.reported {
		sum += n
	}
	return sum
}

// peerTimeout is the time without a report after which a peer's counts are dropped, as in
// package balance.
const peerTimeout = time.Second

// dropSilent drops the counts of peers that have been silent for peerTimeout. While hubs change,
// the counts of a hub that was given up are also in the counts of its successor. Without
// dropSilent a count stayed too high permanently in 4 of 30 runs, each time by the counts of a hub
// that had been silent for 1.6 s to 3.1 s, or by the sum of a hub that included these. The
// caller holds e.mu.
func (e *entry) dropSilent() {
	for peer, at := range e.reportedAt {
		if time.Since(at) >= peerTimeout {
			delete(e.reported, peer)
			delete(e.reportedAt, peer)
		}
	}
}

// dropHub drops the counts of a stopped hub, as package balance does for a silent one, and
// ignores reports from it that arrive later: no further report would replace them.
func (e *entry) dropHub(hub string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignored[hub] = true
	for _, name := range []string{hub, allOthers + hub, allOthers} {
		delete(e.reported, name)
	}
}

// TestStoppedEntryIsAbsent stops one of four entries that report to each other.
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

// pollEvery is the pause between checks of an entry's state.
const pollEvery = 10 * time.Millisecond

// startFleet starts a number of entries in each of two failure domains of one region.
func startFleet(t *testing.T, perDomain int) []*entry {
	all, _ := startExchanges(t, perDomain)
	return all
}

// startExchanges is like startFleet and also returns the exchanges.
func startExchanges(t *testing.T, perDomain int) ([]*entry, []*Exchange) {
	var all []*entry
	var exchanges []*Exchange
	for _, domain := range []string{"d1", "d2"} {
		for i := range perDomain {
			e := &entry{reported: make(map[string]int), reportedAt: make(map[string]time.Time), ignored: make(map[string]bool), changed: make(chan struct{}, 1)}
			e.peer = Peer{ID: fmt.Sprint(domain, "-", i), Domain: domain, SameRegion: true}
			e.tracker = poison.NewTracker(e.peer.ID)
			e.upstreamLimits = newFakeUpstreamLimits()
			e.rollouts = rollout.NewTracker()
			e.demand = demand.NewTracker()
			x, err := Listen(Options{
				Address: "127.0.0.1:0", Entry: e.peer.ID, Counts: e.counts, OnReport: e.onReport, MaxConnIdle: noMaxConnIdle, Leaving: func() bool { return false }, OnUnknownSender: func(netip.AddrPort) {},
				Fleet:          func() Fleet { return fleetFor(e, all) },
				Claims:         func(n int, relay bool) []poison.Claim { return e.tracker.Claims(time.Now(), n, relay) },
				Busy:           func() bool { return !e.idle.Load() },
				UpstreamLimits: e.upstreamLimits,
				Rollouts:       e.rollouts,
				Demand:         reportedDemand{e.demand},
			})
			if err != nil {
				t.Fatal(err)
			}
			e.peer.Address = x.conn.(*net.UDPConn).LocalAddr().(interface{ AddrPort() netip.AddrPort }).AddrPort()
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

// noMaxConnIdle implements Options.MaxConnIdle without a limit.
func noMaxConnIdle() (idle, left time.Duration) { return 0, 0 }

// fleetFor returns the fleet as seen by one of its entries.
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

// waitTimeout is the longest time for reports to reach all entries. Hubs are given up after up
// to 1.5 s, and not picked again for 3 s.
const waitTimeout = 20 * time.Second

// waitForRequests waits until the entry has reports of a number of requests of other entries.
func (e *entry) waitForRequests(t *testing.T, want int) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for e.knownRequests() != want {
		select {
		case <-e.changed:
		case <-time.After(pollEvery):
		case <-timeout:
			t.Fatalf("%s has reports of %d requests, want %d", e.peer.ID, e.knownRequests(), want)
		}
	}
}

// TestHubsReportAllRequestsToAllEntries checks that each entry of a fleet that is too large for
// direct reports gets the counts of all requests, also after the hub of its failure domain has
// stopped.
func TestHubsReportAllRequestsToAllEntries(t *testing.T) {
	const perDomain = maxDirect/2 + 2
	all := startFleet(t, perDomain)
	for _, e := range all {
		e.waitForRequests(t, 2*perDomain-1)
	}
	stopped := all[0]
	stopped.stop()
	for _, e := range all {
		e.dropHub(stopped.peer.ID)
	}
	for _, e := range all[1:perDomain] {
		e.waitForRequests(t, 2*perDomain-2)
	}
}

// TestIdleEntryGetsAllCountsOnceBusy has most entries of a large fleet idle. An entry that
// becomes busy gets the counts of all others, and they get its counts.
func TestIdleEntryGetsAllCountsOnceBusy(t *testing.T) {
	const perDomain = maxDirect/2 + 2
	all := startFleet(t, perDomain)
	busy := []*entry{all[1], all[perDomain+1]}
	for _, e := range all {
		e.idle.Store(true)
	}
	for _, e := range busy {
		e.idle.Store(false)
	}
	busy[0].waitForRequests(t, 1)
	started := all[3]
	started.idle.Store(false)
	started.waitForRequests(t, 2)
	for _, e := range busy {
		e.waitForRequests(t, 2)
	}
}

// TestHubReportsAbsentEntries stops an entry of a large fleet, idle or not: the hub reports its
// absence to all entries of its failure domain, though the entry is still registered.
func TestHubReportsAbsentEntries(t *testing.T) {
	const perDomain = maxDirect/2 + 2
	for _, idle := range []bool{false, true} {
		all, exchanges := startExchanges(t, perDomain)
		for _, e := range all {
			e.idle.Store(idle)
		}
		stopped := all[3]
		for _, e := range all {
			if idle {
				break
			}
			e.waitForRequests(t, 2*perDomain-1)
		}
		stopped.stop()
		for i, x := range exchanges[:perDomain] {
			for i != 3 && !x.Absent(time.Now())[stopped.peer.ID] {
				time.Sleep(pollEvery)
			}
			if got := x.Absent(time.Now()); i != 3 && len(got) != 1 {
				t.Errorf("idle %v: absent at %s are %v", idle, all[i].peer.ID, got)
			}
		}
	}
}

// TestHubReportsNoSilenceWhenCutOff has an entry take over as the hub of its failure domain,
// and then be cut off: it reports no absent entries before it could get their reports, nor
// when it gets none at all.
func TestHubReportsNoSilenceWhenCutOff(t *testing.T) {
	h := newHubs("self")
	domain := candidates("self", "a", "b", "c")
	at := func(d time.Duration) time.Time { return t0.Add(d) }
	if got := h.absent(domain, at(0)); got != nil {
		t.Errorf("absent before the first report: %v", got)
	}
	report := func(d time.Duration, ids ...string) {
		for _, id := range ids {
			h.record(Peer{ID: id}, &Report{Scope: ScopeOwn, Idle: true}, at(d))
		}
	}
	report(0, "a")
	if got := h.absent(domain, at(idleReporterTimeout-1)); got != nil {
		t.Errorf("absent just after the takeover: %v", got)
	}
	report(idleReporterTimeout, "a", "b")
	if got := h.absent(domain, at(idleReporterTimeout)); len(got) != 1 || got[0] != "c" {
		t.Errorf("absent: %v, want c", got)
	}
	h.activeReporters(at(3 * idleReporterTimeout))
	if got := h.absent(domain, at(3*idleReporterTimeout)); got != nil {
		t.Errorf("absent without any reports: %v", got)
	}
}
