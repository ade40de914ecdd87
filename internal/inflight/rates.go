package inflight

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// This file has what entries tell each other of the limits that upstreams name (package
// ratelimit), in reports of their own. The senders of an upstream tell each other at once of
// their requests; what the limits are goes the ways of the reports of requests under way.

const (
	// maxRates bounds the upstreams of one report, so that it fits a datagram; one takes up to
	// 16 bytes.
	maxRates = 75
	// maxRateUnits bounds what is believed of a limit, in units of ratelimit.Resolution.
	maxRateUnits = 1 << 50
	// ratesPeriods is after how many near periods senders tell each other that they are there,
	// and allRatesPeriods after how many all limits are told.
	ratesPeriods    = 2
	allRatesPeriods = 10
	// urgentGap is the least time between two urgent reports.
	urgentGap = 5 * time.Millisecond
	// maxStarted bounds the peers that have started and are to be told.
	maxStarted = 64
	// changesGap is the least time between two urgent reports of limits that have changed.
	changesGap = 50 * time.Millisecond
)

// Rates is what an Exchange tells of the limits of upstreams, and where it brings what it is
// told.
type Rates interface {
	// UrgentRates has a value when others are to hear at once.
	UrgentRates() <-chan struct{}
	// RateNews returns what to tell.
	RateNews(scope balance.UpdateScope) []balance.LimitUpdate
	// RateSenders returns the ids of the entries that share a limit with this one.
	RateSenders() map[string]bool
	// HeardRates takes in what a peer told in one of its lives.
	HeardRates(peer string, life uint64, told []balance.LimitUpdate)
}

// appendRates encodes a limit as its units and one, so that 0 stands for none.
func appendRates(b []byte, rates []balance.LimitUpdate) []byte {
	for _, n := range rates[:min(len(rates), maxRates)] {
		units := uint64(0)
		if n.PerSecond < ratelimit.Unlimited {
			units = 1 + uint64(math.Round(n.PerSecond/ratelimit.Resolution))
		}
		b = protowire.AppendFixed32(b, n.Upstream)
		b = protowire.AppendVarint(b, units)
		b = protowire.AppendVarint(b, uint64(n.Version))
		b = protowire.AppendVarint(b, uint64(n.Sent))
	}
	return b
}

func decodeRates(b []byte) ([]balance.LimitUpdate, error) {
	var out []balance.LimitUpdate
	var upstream uint32
	var v [3]uint64
	var err error
	for len(b) > 0 {
		if upstream, b, err = consumeHash(b); err != nil {
			return nil, err
		}
		if b, err = consumeVarints(b, v[:]); err != nil {
			return nil, err
		}
		if v[0] > maxRateUnits || v[1] > math.MaxUint32 || v[2] > math.MaxUint32 || len(out) == maxRates {
			return nil, errMalformed
		}
		r := balance.LimitUpdate{Upstream: upstream, PerSecond: ratelimit.Unlimited, Version: uint32(v[1]), Sent: uint32(v[2])}
		if v[0] > 0 {
			r.PerSecond = ratelimit.Round(float64(v[0]-1) * ratelimit.Resolution)
		}
		out = append(out, r)
	}
	return out, nil
}

// tellRates tells peers of limits. It sends a report also if there is nothing to tell.
func (x *Exchange) tellRates(peers []Peer, news []balance.LimitUpdate) {
	for first := true; first || len(news) > 0; first = false {
		n := min(len(news), maxRates)
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, HasRates: true, Rates: news[:n],
		}
		news = news[n:]
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// urgentRates tells the other senders of upstreams what they have not been told, and those that
// reports go to of limits that have changed.
func (x *Exchange) urgentRates(now time.Time) {
	news := x.opt.Rates.RateNews(balance.UnsentUpdates)
	x.tellSenders(x.opt.Fleet(), news, nil)
	changed := slices.DeleteFunc(news, func(n balance.LimitUpdate) bool { return !n.Changed })
	if len(changed) > 0 && now.Sub(x.changesTold) >= changesGap {
		x.changesTold = now
		x.tellRates(x.rateListeners, changed)
	}
}

// noteLife notices a peer that has started. The limits that it does not know are told to it at
// once if there is room in the queue, else in the next report.
func (x *Exchange) noteLife(p Peer, life uint64, fleet Fleet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.opt.Rates == nil || life <= x.lives[p.ID] {
		return
	}
	if len(x.lives) > 2*len(fleet.Peers) {
		// Most of them have left for good.
		clear(x.lives)
	}
	x.lives[p.ID] = life
	select {
	case x.started <- p:
	default:
	}
}

// tellStarted tells a peer that has started all limits.
func (x *Exchange) tellStarted(p Peer) {
	if news := x.opt.Rates.RateNews(balance.AllUpdates); len(news) > 0 {
		x.tellRates([]Peer{p}, news)
	}
}

// periodicRates tells again what may have been lost: the senders of their requests, and the
// peers that reports go to of the limits.
func (x *Exchange) periodicRates(fleet Fleet, to []Peer) {
	x.rateListeners = to
	if x.opt.Rates == nil || x.seq%ratesPeriods != 0 {
		return
	}
	scope := balance.RecentUpdates
	if x.seq%allRatesPeriods == 0 {
		scope = balance.AllUpdates
	}
	news := x.opt.Rates.RateNews(scope)
	x.tellSenders(fleet, news, x.opt.Rates.RateSenders())
	if len(news) > 0 {
		x.tellRates(to, news)
	}
}

// listenersByHubs are those that an entry of a fleet with hubs tells of limits: its hub, or those
// that it is the hub of and the other hubs.
func listenersByHubs(self string, hub Peer, busy, idle, remote []Peer) []Peer {
	out := slices.Concat(busy, idle)
	if hub.ID != self {
		out = append(out, hub)
	}
	if hub.ID == self || len(busy)+len(idle) > 0 {
		out = append(out, remote...)
	}
	return out
}

// tellSenders tells each entry of those upstreams that it may send to as well, and those that
// are to hear in any case that this entry is there.
func (x *Exchange) tellSenders(fleet Fleet, news []balance.LimitUpdate, always map[string]bool) {
	if len(news)+len(always) == 0 {
		return
	}
	shared := make(map[string][]balance.LimitUpdate)
	for _, n := range news {
		for _, id := range n.Senders {
			shared[id] = append(shared[id], n)
		}
	}
	for _, p := range fleet.Peers {
		if list := shared[p.ID]; len(list) > 0 || always[p.ID] {
			x.tellRates([]Peer{p}, list)
		}
	}
}
