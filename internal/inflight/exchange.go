package inflight

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
)

const (
	// nearPeriod is the time between reports to peers of the own region, and
	// farPeriod to others. An upstream with three slots gets a request every
	// 50 ms to 100 ms.
	nearPeriod = 100 * time.Millisecond
	farPeriod  = 200 * time.Millisecond
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
	Counts func(balance.Counted) []Count
	// Doubt returns the Doubt and DoubtLeft of reports.
	Doubt func() (rest, left time.Duration)
	// Leaving reports whether the own entry stops.
	Leaving func() bool
	// Heard takes in a report. Peer names whose requests it counts.
	Heard func(peer string, r *Report)
	// Stranger is told of reports by entries that are not in the fleet.
	Stranger func(from netip.AddrPort)
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

	mu       sync.Mutex
	hubs     *hubs
	presence *presence
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
	return &Exchange{opt: opt, conn: conn, hubs: newHubs(opt.Entry), presence: newPresence()}, nil
}

// Absent returns the ids of the entries that stop or are silent. In a fleet with hubs an
// entry does not hear of each other one, and takes none for absent.
func (x *Exchange) Absent(now time.Time) map[string]bool {
	peers := x.opt.Fleet().Peers
	if len(peers) > maxDirect {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.presence.list(peers, now)
	return x.presence.absent(x.hubs.heard, now)
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	defer x.conn.Close()
	tick := time.NewTicker(nearPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.send(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// send tells whoever is due.
func (x *Exchange) send(now time.Time) {
	x.seq++
	fleet := x.opt.Fleet()
	switch {
	case len(fleet.Peers) == 0:
	case len(fleet.Peers) <= maxDirect:
		x.tell(fleet.Peers, ScopeOwn, balance.Counted{Own: true})
	default:
		x.sendByHubs(fleet, now)
	}
}

// sendByHubs tells the hub of the own failure domain, or what a hub tells. An entry
// to which others report works as their hub even if it would choose another itself:
// they have given that one up.
func (x *Exchange) sendByHubs(fleet Fleet, now time.Time) {
	x.mu.Lock()
	hub := x.hubs.pick(fleet.Hubs, now)
	reporting := x.hubs.reporting(now)
	remote := make([]Peer, len(fleet.Remote))
	for i, c := range fleet.Remote {
		remote[i] = x.hubs.speaker(c, now)
	}
	x.mu.Unlock()
	isHub := hub.ID == x.opt.Entry
	if !isHub {
		x.tell([]Peer{hub}, ScopeOwn, balance.Counted{Own: true})
	}
	for _, p := range reporting {
		x.tell([]Peer{p}, ScopeOthers, balance.Counted{Own: true, Peers: func(peer string) bool { return peer != p.ID && peer != others }})
	}
	if isHub || len(reporting) > 0 {
		from := make(map[string]bool, len(reporting))
		for _, p := range reporting {
			from[p.ID] = true
		}
		x.tell(remote, ScopeDomain, balance.Counted{Own: isHub, Peers: func(peer string) bool { return from[peer] }})
	}
}

// tell sends one report to the peers that are due for it. A datagram that cannot be
// sent is as good as lost.
func (x *Exchange) tell(peers []Peer, scope Scope, whose balance.Counted) {
	far := x.seq%uint64(farPeriod/nearPeriod) == 0
	due := make([]netip.AddrPort, 0, len(peers))
	for _, p := range peers {
		if p.Near || far {
			due = append(due, p.Address)
		}
	}
	if len(due) == 0 {
		return
	}
	whole := Report{Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq, Scope: scope, Counts: x.opt.Counts(whose)}
	whole.Leaving = x.opt.Leaving()
	whole.Doubt, whole.DoubtLeft = x.opt.Doubt()
	for _, r := range whole.split() {
		x.buf = r.Append(x.buf[:0])
		for _, addr := range due {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, addr)
		}
	}
}

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
		x.take(r, from, time.Now())
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
		x.mu.Lock()
		x.hubs.take(p, r.Scope, now)
		x.presence.take(p.ID, r.Leaving)
		x.mu.Unlock()
		x.opt.Heard(nameOf(r), r)
		return
	}
	x.opt.Stranger(from)
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
