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
func (b *Balancer) orderRegions(regions []string, now time.Time) []string {
	var last []string
	for i, r := range regions {
		if !b.mostlyFailing(r, now) {
			continue
		}
		if !now.Before(b.nextProbe[r]) {
			b.nextProbe[r] = now.Add(probeInterval)
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
func (b *Balancer) mostlyFailing(region string, now time.Time) bool {
	bad := 0
	all := b.byRegion[region]
	for _, u := range all {
		if u.ejected(now) || u.failures >= ejectionThreshold {
			bad++
		}
	}
	return float64(bad) > maxEjectionShare*float64(len(all))
}

func (u *upstreamState) ejected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// silent reports whether an upstream has requests of this entry and has answered
// none for longer than they should take. Its instance may be dead or cut off; its
// entry in the platform's list tells so only seconds later.
func (b *Balancer) unresponsive(u *upstreamState, now time.Time) bool {
	return u.inFlight > 0 && now.Sub(u.lastAnswer) > unresponsiveTimeout+b.expectedWait(u, now, ObjectRequest{})
}

// shedForNothing reports whether an upstream that refused a request as if for load had
// slots to spare, by its own word or else by what the entries have there. That is no
// sign of load; and as others would work cold, it is no reason to pass the upstream
// over either, but to ask it again.
func (b *Balancer) shedWithSpareSlots(u *upstreamState, now time.Time, c Choice, r DoneInfo) bool {
	if c.class == "" {
		return false
	}
	if r.Load >= 0 {
		return r.Waiting <= 0 && r.Load < u.Slots
	}
	return b.outstanding(u, now) < idleShare*float64(u.Slots)
}

func (b *Balancer) recordResult(u *upstreamState, now time.Time, took time.Duration, r Result) {
	switch r {
	case OK:
		u.lastAnswer = now
		u.failures, u.ejections = 0, 0
		if u.latency == 0 {
			u.latency = took
		}
		u.latency += time.Duration(latencyWeight * float64(took-u.latency))
	case ShedIdle:
		u.lastAnswer = now
	case Shed:
		u.lastAnswer = now
		u.shedUntil = now.Add(shedBackoff)
	case Failed, Unreachable:
		u.failures++
		if r == Unreachable {
			u.failures = max(u.failures, ejectionThreshold)
		}
		if u.failures >= ejectionThreshold {
			b.eject(u, now)
		}
	}
}

// eject takes an upstream out for a while, unless too many of its region are
// out already.
func (b *Balancer) eject(u *upstreamState, now time.Time) {
	out := 0
	peers := b.byRegion[u.Region]
	for _, p := range peers {
		if p != u && p.ejected(now) {
			out++
		}
	}
	if float64(out+1) > maxEjectionShare*float64(len(peers)) {
		return
	}
	d := min(baseEjectionTime<<min(u.ejections, 10), maxEjectionTime)
	u.ejections++
	u.failures = 0
	u.ejectedUntil = now.Add(d)
}
