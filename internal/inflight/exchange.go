package inflight

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/poison"
)

const (
	// nearPeriod is the time between reports to peers of the own region, and
	// farPeriod to others. An upstream with three slots gets a request every
	// 50 ms to 100 ms.
	nearPeriod = 100 * time.Millisecond
	farPeriod  = 200 * time.Millisecond
	// idlePeriod is the time between reports of an entry that carries few requests to its
	// hub, and of the hub to it. Look-ups name few entries of a large fleet; the reports
	// of the others cost most of what they did at all.
	idlePeriod = 500 * time.Millisecond
	// busyFor is how long an entry counts as busy after it last had many requests.
	busyFor = 2 * time.Second
	// absentFor is how long it is believed what a hub told of absent entries.
	absentFor = 3 * idlePeriod
	// maxDatagram is the largest report in bytes.
	maxDatagram = 1400
)

// Options sets up an Exchange.
type Options struct {
	// Address is the own one, IP:PORT for UDP.
	Address string
	// Entry and Incarnation go into the reports.
	Entry       string
	Incarnation uint64
	// Fleet returns the other entries.
	Fleet func() Fleet
	// Counts returns what to report.
	Counts func(balance.EntryFilter) []Count
	// MaxConnIdle returns the MaxConnIdle and DoubtLeft of reports.
	MaxConnIdle func() (rest, left time.Duration)
	// Claims returns what to tell of requests under which upstreams ended, at most n Claims;
	// nil means nothing. A hub also relays those of others.
	Claims func(n int, relay bool) []poison.Claim
	// Limits has the use of organisations' limits; nil means that none is told.
	Limits Limits
	// Rates has the limits that upstreams name; nil means that none is told.
	Rates Rates
	// Leaving reports whether the own entry stops.
	Leaving func() bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Busy reports whether the own entry carries more than a few requests; nil means
	// always.
	Busy func() bool
	// OnReport takes in a report. Peer names whose requests it counts.
	OnReport func(peer string, r *Report)
	// OnUnknownSender is told of reports by entries that are not in the fleet.
	OnUnknownSender func(from netip.AddrPort)
}

// Exchange sends the own reports and receives those of others.
//
// In a small fleet every entry tells each other one. In a larger one each tells the
// hub of its failure domain; hubs tell each other the sums of their domains, and
// each of their domain the sum of all others.
type Exchange struct {
	opt  Options
	conn *net.UDPConn
	seq  uint64
	buf  []byte

	// busyUntil is until when the own entry counts as busy, toldIdle when those that are
	// idle were last told. Only the goroutine that sends uses them.
	busyUntil time.Time
	toldIdle  time.Time
	// relays is set while this entry has a hub, also if others take it for theirs.
	relays bool
	// weight is that of the own entry in the limits.
	weight int
	// rateListeners are told of the limits of upstreams, changesTold is when they last were at
	// once.
	rateListeners []Peer
	changesTold   time.Time
	// started has the peers that were first heard in a new life and know no limits yet.
	started chan Peer

	mu       sync.Mutex
	hubs     *hubs
	presence *presence
	// absent are the hashes of the entries that the hub told to be absent at absentAt.
	absent   []uint32
	absentAt time.Time
	// lives are the incarnations in which the peers were heard last.
	lives map[string]uint64
}

// Listen opens the socket.
func Listen(opt Options) (*Exchange, error) {
	addr, err := netip.ParseAddrPort(opt.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Claims == nil {
		opt.Claims = func(int, bool) []poison.Claim { return nil }
	}
	if opt.Busy == nil {
		opt.Busy = func() bool { return true }
	}
	return &Exchange{opt: opt, conn: conn, hubs: newHubs(opt.Entry), presence: newPresence(), lives: make(map[string]uint64), started: make(chan Peer, maxStarted)}, nil
}

// Absent returns the ids of the entries that stop or are silent. In a fleet with hubs an
// entry hears from its hub which of its failure domain these are.
func (x *Exchange) Absent(now time.Time) map[string]bool {
	fleet := x.opt.Fleet()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(fleet.Peers) > maxDirect {
		return x.absentByHub(fleet.HubCandidates, now)
	}
	x.presence.list(fleet.Peers, now)
	return x.presence.absent(x.hubs.heard, now)
}

// absentByHub returns the absent entries among those of the own failure domain: what the
// hub told, and hubs that were given up. The caller holds the lock.
func (x *Exchange) absentByHub(domain []Peer, now time.Time) map[string]bool {
	told := make(map[uint32]bool, len(x.absent))
	if now.Sub(x.absentAt) < absentFor {
		for _, h := range x.absent {
			told[h] = true
		}
	}
	out := make(map[string]bool)
	for _, p := range domain {
		if at, avoided := x.hubs.avoided[p.ID]; told[poison.HashEntry(p.ID)] || avoided && now.Sub(at) < hubAvoid {
			out[p.ID] = true
		}
	}
	return out
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	defer x.conn.Close()
	period := nearPeriod
	tick := time.NewTicker(period)
	defer tick.Stop()
	var urgent <-chan struct{}
	if x.opt.Rates != nil {
		urgent = x.opt.Rates.UrgentRates()
	}
	for {
		select {
		case <-urgent:
			x.urgentRates(x.opt.Now())
			time.Sleep(urgentGap)
		case p := <-x.started:
			x.tellStarted(p)
		case <-tick.C:
			now := x.opt.Now()
			x.send(now)
			if next := x.period(now); next != period {
				period = next
				tick.Reset(period)
			}
		case <-ctx.Done():
			return
		}
	}
}

// period is the time until the next report. In a small fleet all entries hear from each
// other that they are there, so that none goes idle.
func (x *Exchange) period(now time.Time) time.Duration {
	if len(x.opt.Fleet().Peers) <= maxDirect || !x.idle(now) {
		return nearPeriod
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.hubs.reporters) > 0 {
		return nearPeriod
	}
	return idlePeriod
}

// idle reports whether the entry has had few requests or none for a while.
func (x *Exchange) idle(now time.Time) bool { return !now.Before(x.busyUntil) }

// send tells whoever is due.
func (x *Exchange) send(now time.Time) {
	x.seq++
	if x.opt.Busy() {
		if x.idle(now) {
			x.mu.Lock()
			x.hubs.expect(now)
			x.mu.Unlock()
		}
		x.busyUntil = now.Add(busyFor)
	}
	fleet := x.opt.Fleet()
	switch {
	case len(fleet.Peers) == 0:
		x.useToAll(fleet, now)
	case len(fleet.Peers) <= maxDirect:
		x.tell(fleet.Peers, Report{Scope: ScopeOwn}, balance.EntryFilter{Own: true})
		x.tellClaims(fleet.Peers, false)
		x.periodicRates(fleet, fleet.Peers)
		x.useToAll(fleet, now)
	default:
		x.sendByHubs(fleet, now)
	}
}

// sendByHubs tells the hub of the own failure domain, or what a hub tells. An entry
// to which others report works as their hub even if it would choose another itself:
// they have given that one up.
func (x *Exchange) sendByHubs(fleet Fleet, now time.Time) {
	silence := hubSilence
	if x.idle(now) {
		silence = idleHubSilence
	}
	x.mu.Lock()
	hub := x.hubs.pick(fleet.HubCandidates, silence, now)
	busy, idle := x.hubs.reporting(now)
	absent := x.absentOf(fleet.HubCandidates, now)
	remote := make([]Peer, len(fleet.RemoteHubs))
	for i, c := range fleet.RemoteHubs {
		remote[i] = x.hubs.speaker(c, now)
	}
	x.mu.Unlock()
	isHub := hub.ID == x.opt.Entry
	x.useByHubs(fleet, hub, busy, idle, remote, now)
	if !isHub {
		x.tell([]Peer{hub}, Report{Scope: ScopeOwn, Idle: x.idle(now)}, balance.EntryFilter{Own: true})
	}
	toReporters := Report{Scope: ScopeOthers, Absent: absent}
	for _, p := range busy {
		x.tell([]Peer{p}, toReporters, balance.EntryFilter{Own: true, Peers: func(peer string) bool { return peer != p.ID && peer != others }})
	}
	if len(idle) > 0 && now.Sub(x.toldIdle) >= idlePeriod-nearPeriod/2 {
		// They have little use for the loads of upstreams: once they carry more requests
		// they are told all within a period.
		x.toldIdle = now
		x.tell(idle, toReporters, balance.EntryFilter{})
	}
	x.periodicRates(fleet, listenersByHubs(x.opt.Entry, hub, busy, idle, remote))
	if !isHub && len(busy)+len(idle) == 0 {
		x.tellClaims([]Peer{hub}, false)
	}
	if isHub || len(busy)+len(idle) > 0 {
		x.tellClaims(slices.Concat(busy, idle, remote), true)
		from := make(map[string]bool, len(busy)+len(idle))
		for _, p := range append(busy, idle...) {
			from[p.ID] = true
		}
		x.tell(remote, Report{Scope: ScopeDomain}, balance.EntryFilter{Own: isHub, Peers: func(peer string) bool { return from[peer] }})
	}
}

// absentOf returns the hashes of the absent entries of the own failure domain: those that
// this entry, as their hub, does not hear, and those that said that they stop. The
// caller holds the lock.
func (x *Exchange) absentOf(domain []Peer, now time.Time) []uint32 {
	silent := x.hubs.absent(domain, now)
	var out []uint32
	for _, p := range domain {
		if x.presence.leaving[p.ID] || slices.Contains(silent, p.ID) {
			out = append(out, poison.HashEntry(p.ID))
		}
	}
	if len(x.hubs.reporters) > 0 {
		x.absent, x.absentAt = out, now
	}
	return out
}

// tell sends one report, with the counts of whose requests it is about, to the peers that
// are due for it. A datagram that cannot be sent is as good as lost.
func (x *Exchange) tell(peers []Peer, whole Report, whose balance.EntryFilter) {
	far := x.farDue()
	due := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		if p.SameRegion || far {
			due = append(due, p.Address)
		}
	}
	if len(due) == 0 {
		return
	}
	whole.Entry, whole.Incarnation, whole.Sequence = x.opt.Entry, x.opt.Incarnation, x.seq
	whole.Counts = x.opt.Counts(whose)
	whole.Leaving = x.opt.Leaving()
	whole.MaxConnIdle, whole.MaxConnIdleLeft = x.opt.MaxConnIdle()
	for _, r := range whole.split() {
		x.buf = r.Append(x.buf[:0])
		for _, addr := range due {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, addr)
		}
	}
}

// tellClaims tells of requests under which upstreams ended, in each far period. All peers
// are told the same, near ones no more often: what there is to tell may need several
// rounds, and no peer may miss one.
func (x *Exchange) tellClaims(peers []Peer, relay bool) {
	if !x.farDue() {
		return
	}
	for claims := range slices.Chunk(x.opt.Claims(claimsPerRound, relay), maxClaims) {
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, Claims: claims,
		}
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// farDue reports whether peers of other regions are told in this period.
func (x *Exchange) farDue() bool { return x.seq%uint64(farPeriod/nearPeriod) == 0 }

func (x *Exchange) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := Decode(buf[:n])
		if err != nil {
			klog.V(1).InfoS("report refused", "from", from, "err", err)
			continue
		}
		x.take(r, from, x.opt.Now())
	}
}

// others names, in Heard, all entries that a hub speaks for. Reports of one hub take
// the place of those of the hub before. They are never passed on.
const others = "*"

// take brings in a report of an entry that is known.
func (x *Exchange) take(r *Report, from netip.AddrPort, now time.Time) {
	fleet := x.opt.Fleet()
	for _, p := range fleet.Peers {
		if p.ID != r.Entry {
			continue
		}
		if !sameAddress(p.Address, from) {
			klog.V(1).InfoS("report refused: not from its entry's address", "entry", p.ID, "address", p.Address, "from", from)
			return
		}
		x.noteLife(p, r.Incarnation, fleet)
		if r.HasRates {
			if x.opt.Rates != nil {
				x.opt.Rates.HeardRates(r.Entry, r.Incarnation, r.Rates)
			}
			return
		}
		if r.HasUses {
			x.takeUses(r, p, fleet, now)
			return
		}
		if r.Scope == ScopeNone {
			r.Claims = trusted(r, len(fleet.Peers) > maxDirect)
			x.opt.OnReport(r.Entry, r)
			return
		}
		x.mu.Lock()
		x.hubs.take(p, r, now)
		x.presence.take(p.ID, r.Leaving)
		if r.Scope == ScopeOthers {
			x.absent, x.absentAt = r.Absent, now
		}
		x.mu.Unlock()
		x.opt.OnReport(nameOf(r), r)
		return
	}
	x.opt.OnUnknownSender(from)
}

// sameAddress compares addresses, of which one may be IPv4 written as IPv6.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// trusted returns the Claims of a report that are taken from its sender: its own, and
// where there are hubs also those that it relays. So one entry cannot speak for several
// in a fleet in which each tells each other one.
func trusted(r *Report, byHubs bool) []poison.Claim {
	if byHubs {
		return r.Claims
	}
	sender := poison.HashEntry(r.Entry)
	return slices.DeleteFunc(r.Claims, func(w poison.Claim) bool { return w.Source != sender })
}

// nameOf names whose requests a report counts. An entry that is both a hub and a
// peer has a name for each.
func nameOf(r *Report) string {
	switch r.Scope {
	case ScopeOthers:
		return others
	case ScopeDomain:
		return others + r.Entry
	}
	return r.Entry
}
