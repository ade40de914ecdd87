package balance

import (
	"slices"
	"time"
)

// idleShare is below what share of its slots, as the entries count, an upstream that
// does not tell its load is surely not full: entries hear of each other's requests
// 0.1 s to 0.2 s late.
const idleShare = 0.5

// order returns the regions with those last of which most upstreams fail. Every
// probeEvery one request still tries such a region in its turn, to see whether
// it is well again.
func (g *Balancer) order(regions []string, now time.Time) []string {
	var last []string
	for i, r := range regions {
		if !g.unwell(r, now) {
			continue
		}
		if !now.Before(g.probeAt[r]) {
			g.probeAt[r] = now.Add(probeEvery)
			continue
		}
		if last == nil {
			regions = slices.Clone(regions)
		}
		regions[i] = ""
		last = append(last, r)
	}
	if last == nil {
		return regions
	}
	return append(slices.DeleteFunc(regions, func(r string) bool { return r == "" }), last...)
}

// unwell reports whether more than half of a region's upstreams are ejected or
// fail again and again.
func (g *Balancer) unwell(region string, now time.Time) bool {
	bad := 0
	all := g.regions[region]
	for _, m := range all {
		if m.ejected(now) || m.failures >= ejectAfter {
			bad++
		}
	}
	return float64(bad) > maxEjected*float64(len(all))
}

func (m *member) ejected(now time.Time) bool { return now.Before(m.ejectedUntil) }

// silent reports whether an upstream has requests of this entry and has answered
// none for longer than they should take. Its instance may be dead or cut off; its
// entry in the platform's list tells so only seconds later.
func (g *Balancer) silent(m *member, now time.Time) bool {
	return m.inFlight > 0 && now.Sub(m.heardAt) > silentAfter+g.wait(m, now, ObjectRequest{})
}

// shedForNothing reports whether an upstream that refused a request as if for load had
// slots to spare, by its own word or else by what the entries have there. That is no
// sign of load; and as others would work cold, it is no reason to pass the upstream
// over either, but to ask it again.
func (g *Balancer) shedForNothing(m *member, now time.Time, c Choice, r DoneInfo) bool {
	if c.class == "" {
		return false
	}
	if r.Load >= 0 {
		return r.Waiting <= 0 && r.Load < m.Slots
	}
	return g.estimate(m, now) < idleShare*float64(m.Slots)
}

func (g *Balancer) judge(m *member, now time.Time, took time.Duration, r Result) {
	switch r {
	case OK:
		m.heardAt = now
		m.failures, m.ejections = 0, 0
		if m.latency == 0 {
			m.latency = took
		}
		m.latency += time.Duration(latencyWeight * float64(took-m.latency))
	case ShedIdle:
		m.heardAt = now
	case Shed:
		m.heardAt = now
		m.shedUntil = now.Add(shedFor)
	case Failed, Unreachable:
		m.failures++
		if r == Unreachable {
			m.failures = max(m.failures, ejectAfter)
		}
		if m.failures >= ejectAfter {
			g.eject(m, now)
		}
	}
}

// eject takes an upstream out for a while, unless too many of its region are
// out already.
func (g *Balancer) eject(m *member, now time.Time) {
	out := 0
	peers := g.regions[m.Region]
	for _, p := range peers {
		if p != m && p.ejected(now) {
			out++
		}
	}
	if float64(out+1) > maxEjected*float64(len(peers)) {
		return
	}
	d := min(ejectFirst<<min(m.ejections, 10), ejectLongest)
	m.ejections++
	m.failures = 0
	m.ejectedUntil = now.Add(d)
}
