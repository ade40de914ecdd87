package inflight

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
)

const (
	// localPeriod is the time between reports to peers of the own region, and
	// remotePeriod to peers of other regions. An upstream with three slots gets a
	// request every 50 ms to 100 ms.
	localPeriod  = 100 * time.Millisecond
	remotePeriod = 200 * time.Millisecond
	// idlePeriod is the time between the reports of an entry with few requests to its hub,
	// and of the hub to such an entry. Look-ups return only few entries of a large fleet to
	// callers. If the other entries reported in each localPeriod, reports would be most of
	// their work.
	idlePeriod = 500 * time.Millisecond
	// busyFor is the time for which an entry counts as busy after Busy last returned true.
	busyFor = 2 * time.Second
	// absentLifetime is the time for which a hub's report of absent entries is used.
	absentLifetime = 3 * idlePeriod
	// maxDatagram is the largest encoded report in bytes.
	maxDatagram = 1400
)

// PacketConn sends and receives the datagrams of an Exchange.
type PacketConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Options configures an Exchange.
type Options struct {
	// Conn is used in place of a socket at Address, unless it is nil. The Exchange closes it.
	Conn PacketConn
	// Address is the local UDP address, IP:PORT.
	Address string
	// Entry and Incarnation identify the own entry in its reports.
	Entry       string
	Incarnation uint64
	// Fleet returns the other entries and the hubs among them.
	Fleet func() Fleet
	// Counts returns the requests in flight to report.
	Counts func(balance.EntryFilter) []Count
	// Answered reports whether upstreams have recently answered one of the entries that the filter
	// selects; nil means that it is not reported.
	Answered func(balance.EntryFilter) bool
	// MaxConnIdle returns the values of Report.MaxConnIdle and Report.MaxConnIdleLeft.
	MaxConnIdle func() (idle, left time.Duration)
	// Claims returns up to n Claims to report about requests that crashed upstreams; nil
	// means none. With relay set, on hubs, these include Claims of other entries.
	Claims func(n int, relay bool) []poison.Claim
	// OrganisationLimits holds the use of the organisations' limits; nil means that none is
	// reported.
	OrganisationLimits OrganisationLimits
	// UpstreamLimits holds the limits that upstreams announce; nil means that none is reported.
	UpstreamLimits UpstreamLimits
	// Rollouts holds the evidence on new versions of services; nil means that none is reported.
	Rollouts Rollouts
	// Demand holds the demand for services; nil means that none is reported.
	Demand Demand
	// Registration returns the period in which the own entry is certainly a member of the fleet for
	// the others; nil means that it always is.
	Registration func() model.Registration
	// Leaving reports whether the own entry is stopping.
	Leaving func() bool
	// Isolated reports whether the own entry is isolated; nil means never.
	Isolated func() bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Busy reports whether the own entry serves more than a few requests; nil means
	// always.
	Busy func() bool
	// OnReport is called with each report of requests in flight or of Claims. Peer is the
	// name under which the counts of the report are kept; see peerNameOf.
	OnReport func(peer string, r *Report)
	// OnUnknownSender is called for each report by an entry that is not in the fleet.
	OnUnknownSender func(from netip.AddrPort)
}

// Exchange sends the reports of the own entry and receives the reports of others.
//
// In a small fleet every entry reports to every other entry. In a larger fleet each entry
// reports to the hub of its failure domain; hubs send each other the sums of their domains,
// and send each entry of their domain the sum of all other entries.
type Exchange struct {
	opt  Options
	conn PacketConn
	seq  uint64
	buf  []byte

	// busyUntil is the time until which the own entry counts as busy, idleSentAt the time of
	// the last report to idle entries. Only the sending goroutine uses them.
	busyUntil  time.Time
	idleSentAt time.Time
	// busyAbsent and idleAbsent are the parts of the list of absent entries that busy and idle
	// entries get next.
	busyAbsent, idleAbsent absentWindow
	// hasHub is set while another entry is the hub of this one, even if some entries use
	// this one as their hub.
	hasHub bool
	// isHub is set while the own entry is the hub of its failure domain by its own choice.
	isHub atomic.Bool
	// weight is the own entry's weight in the limits; see weights. departures are the entries that
	// have just left. Only the sending goroutine uses them.
	weight     int
	departures departures
	// demandSentAt is the time of the last reports of demand, demandRounds their number, and
	// firstDemand the index of the service with which the next ones begin.
	demandSentAt time.Time
	demandRounds int
	firstDemand  int
	// limitPeers are the peers to which limits of upstreams are sent, changesSentAt is the
	// time at which changed limits were last sent to them without delay.
	limitPeers    []Peer
	changesSentAt time.Time
	// started receives each peer of which a new incarnation is seen; it has no limits yet.
	started chan Peer

	mu       sync.Mutex
	hubs     *hubs
	presence *presence
	// absent are the absent entries according to the reports of the hub.
	absent absentList
	// incarnations has the latest incarnation seen of each peer.
	incarnations map[string]uint64
}

// Listen opens the UDP socket. It fails if the address is invalid or cannot be bound.
func Listen(opt Options) (*Exchange, error) {
	addr, err := netip.ParseAddrPort(opt.Address)
	if err != nil {
		return nil, err
	}
	conn := opt.Conn
	if conn == nil {
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
			return nil, err
		}
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Claims == nil {
		opt.Claims = func(int, bool) []poison.Claim { return nil }
	}
	if opt.Answered == nil {
		opt.Answered = func(balance.EntryFilter) bool { return false }
	}
	if opt.Isolated == nil {
		opt.Isolated = func() bool { return false }
	}
	if opt.Busy == nil {
		opt.Busy = func() bool { return true }
	}
	return &Exchange{opt: opt, conn: conn, hubs: newHubs(opt.Entry), presence: newPresence(), incarnations: make(map[string]uint64), started: make(chan Peer, maxStarted)}, nil
}

// Collector is an entry that the reports of all other entries reach, directly or summed by hubs.
type Collector struct {
	// Name is the name of the own entry as a collector, Names are those of all collectors.
	Name  string
	Names []string
}

// Collector returns the own entry as a collector, and whether it is one: in a small fleet every
// entry is, in a larger one the hub of each failure domain, by the name of the domain.
func (x *Exchange) Collector() (Collector, bool) {
	fleet := x.opt.Fleet()
	if len(fleet.Peers) <= maxDirect {
		c := Collector{Name: x.opt.Entry, Names: []string{x.opt.Entry}}
		for _, p := range fleet.Peers {
			c.Names = append(c.Names, p.ID)
		}
		return c, true
	}
	own := fleet.HubCandidates[0].Domain
	c := Collector{Name: own, Names: []string{own}}
	for _, p := range fleet.RemoteHubs {
		c.Names = append(c.Names, p.Domain)
	}
	return c, x.isHub.Load()
}

// Run sends and receives reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	defer x.conn.Close()
	period := localPeriod
	tick := time.NewTicker(period)
	defer tick.Stop()
	var urgent <-chan struct{}
	if x.opt.UpstreamLimits != nil {
		urgent = x.opt.UpstreamLimits.UrgentLimitUpdates()
	}
	for {
		select {
		case <-urgent:
			x.sendUrgentLimitUpdates(x.opt.Now())
			time.Sleep(minUrgentInterval)
		case p := <-x.started:
			x.sendLimitUpdatesToStarted(p)
		case <-tick.C:
			now := x.opt.Now()
			x.sendDue(now)
			if next := x.period(now); next != period {
				period = next
				tick.Reset(period)
			}
		case <-ctx.Done():
			return
		}
	}
}

// period returns the time until the next report. In a small fleet no entry uses idlePeriod,
// because the presence of each entry is detected by its reports; nor does an entry to which
// others report.
func (x *Exchange) period(now time.Time) time.Duration {
	if len(x.opt.Fleet().Peers) <= maxDirect || !x.idle(now) {
		return localPeriod
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.hubs.reporters) > 0 {
		return localPeriod
	}
	return idlePeriod
}

// idle reports whether the entry has served few requests or none for busyFor.
func (x *Exchange) idle(now time.Time) bool { return !now.Before(x.busyUntil) }

// sendDue sends the reports that are due.
func (x *Exchange) sendDue(now time.Time) {
	x.seq++
	if x.opt.Busy() {
		if x.idle(now) {
			x.mu.Lock()
			x.hubs.restartTimeout(now)
			x.mu.Unlock()
		}
		x.busyUntil = now.Add(busyFor)
	}
	fleet := x.opt.Fleet()
	switch {
	case len(fleet.Peers) == 0:
		x.sendUsagesToAll(fleet, now)
	case len(fleet.Peers) <= maxDirect:
		x.sendReport(fleet.Peers, Report{Scope: ScopeOwn}, balance.EntryFilter{Own: true})
		x.sendClaims(fleet.Peers, false)
		x.sendPeriodicLimitUpdates(fleet, fleet.Peers)
		x.sendRolloutsToAll(fleet)
		x.sendDemandToAll(fleet, now)
		x.sendUsagesToAll(fleet, now)
	default:
		x.sendByHubs(fleet, now)
	}
}

// sendByHubs sends the reports of a fleet with hubs: to the hub of the own failure domain,
// or, as a hub, to the entries that report to this one and to the other hubs. An entry to
// which others report acts as their hub even if it would choose another hub itself: they
// have given that hub up.
func (x *Exchange) sendByHubs(fleet Fleet, now time.Time) {
	timeout := hubTimeout
	if x.idle(now) {
		timeout = idleHubTimeout
	}
	x.mu.Lock()
	hub := x.hubs.pick(fleet.HubCandidates, timeout, now)
	busy, idle := x.hubs.activeReporters(now)
	absent := x.absentInDomain(fleet.HubCandidates, now)
	remote := make([]Peer, len(fleet.RemoteHubs))
	for i, c := range fleet.RemoteHubs {
		remote[i] = x.hubs.remoteHub(c, now)
	}
	x.mu.Unlock()
	isHub := hub.ID == x.opt.Entry
	x.isHub.Store(isHub)
	x.sendUsagesByHubs(fleet, hub, busy, idle, remote, now)
	if !isHub {
		x.sendReport([]Peer{hub}, Report{Scope: ScopeOwn, Idle: x.idle(now)}, balance.EntryFilter{Own: true})
	}
	toReporters := Report{Scope: ScopeOthers, Absent: x.busyAbsent.part(absent)}
	for _, p := range busy {
		x.sendReport([]Peer{p}, toReporters, balance.EntryFilter{Own: true, Peers: func(peer string) bool { return peer != p.ID && peer != allOthers }})
	}
	if len(idle) > 0 && now.Sub(x.idleSentAt) >= idlePeriod-localPeriod/2 {
		// Idle entries seldom need the loads of upstreams. An entry that becomes
		// busy gets all counts within one period.
		x.idleSentAt = now
		toReporters.Absent = x.idleAbsent.part(absent)
		toReporters.Answered = x.opt.Answered(balance.EntryFilter{Own: true, Peers: func(peer string) bool { return peer != allOthers }})
		x.sendReport(idle, toReporters, balance.EntryFilter{})
	}
	x.sendPeriodicLimitUpdates(fleet, limitPeersByHubs(x.opt.Entry, hub, busy, idle, remote))
	x.sendRolloutsByHubs(hub, slices.Concat(busy, idle), remote)
	x.sendDemandByHubs(hub, busy, idle, remote, now)
	if !isHub && len(busy)+len(idle) == 0 {
		x.sendClaims([]Peer{hub}, false)
	}
	if isHub || len(busy)+len(idle) > 0 {
		x.sendClaims(slices.Concat(busy, idle, remote), true)
		from := make(map[string]bool, len(busy)+len(idle))
		for _, p := range append(busy, idle...) {
			from[p.ID] = true
		}
		x.sendReport(remote, Report{Scope: ScopeDomain}, balance.EntryFilter{Own: isHub, Peers: func(peer string) bool { return from[peer] }})
	}
}

// sendReport sends a report to those of the peers that are due for one, with the counts
// of the entries that filter selects.
func (x *Exchange) sendReport(peers []Peer, template Report, filter balance.EntryFilter) {
	remoteDue := x.remoteDue()
	due := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.SameRegion || remoteDue {
			due = append(due, p)
		}
	}
	if len(due) == 0 {
		return
	}
	template.Entry, template.Incarnation, template.Sequence = x.opt.Entry, x.opt.Incarnation, x.seq
	template.Counts = x.opt.Counts(filter)
	template.Leaving, template.Isolated = x.opt.Leaving(), x.opt.Isolated()
	template.Answered = template.Answered || x.opt.Answered(filter)
	template.MaxConnIdle, template.MaxConnIdleLeft = x.opt.MaxConnIdle()
	for _, r := range template.split() {
		x.write(&r, due)
	}
}

// write sends a report to peers. Send errors are ignored, as a later report replaces a lost one.
func (x *Exchange) write(r *Report, peers []Peer) {
	x.buf = r.Append(x.buf[:0])
	for _, p := range peers {
		_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
	}
}

// sendClaims sends Claims about requests that crashed upstreams, once in each remotePeriod.
// Peers of the own region get them no more often than others: all Claims may need several
// rounds, and every peer must be sent each of them.
func (x *Exchange) sendClaims(peers []Peer, relay bool) {
	if !x.remoteDue() {
		return
	}
	for claims := range slices.Chunk(x.opt.Claims(claimsPerRound, relay), maxClaims) {
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, Claims: claims,
		}
		x.write(&r, peers)
	}
}

// remoteDue reports whether peers of other regions get a report in this period.
func (x *Exchange) remoteDue() bool { return x.seq%uint64(remotePeriod/localPeriod) == 0 }
