package balance

import (
	"slices"
	"time"
)

// idleShare is the share of its slots below which an upstream that does not report its load is
// certainly not full, by the entries' counts. Entries receive each other's counts 0.1 s to 0.2 s
// late.
const idleShare = 0.5

// orderRegions moves regions whose upstreams mostly fail to the end. Every probeInterval, one
// request still tries such a region in its place, to probe whether it has recovered.
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

// mostlyFailing reports whether more than maxEjectionShare of a region's upstreams are ejected or
// fail repeatedly.
func (b *Balancer) mostlyFailing(region string, now time.Time) bool {
	failing := 0
	all := b.byRegion[region]
	for _, u := range all {
		if u.ejected(now) || u.failures >= ejectionThreshold {
			failing++
		}
	}
	return float64(failing) > maxEjectionShare*float64(len(all))
}

// ejected reports whether the upstream is ejected now.
func (u *upstreamState) ejected(now time.Time) bool { return now.Before(u.ejectedUntil) }

// unresponsive reports whether an upstream has had requests of this entry in flight for longer than
// they should take without answering any. Its instance may have crashed or be unreachable; the
// platform's instance list shows this only seconds later.
func (b *Balancer) unresponsive(u *upstreamState, now time.Time) bool {
	return u.inFlight > 0 && now.Sub(u.lastAnswer) > unresponsiveTimeout+b.expectedWait(u, now, ObjectRequest{})
}

// ForgetFailures drops the failures that this entry has observed, and the ejections that followed.
func (b *Balancer) ForgetFailures(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.byID {
		u.failures, u.ejections, u.ejectedUntil, u.shedUntil = 0, 0, time.Time{}, time.Time{}
		u.outcomes = decayedOutcomes{}
		u.outlierUntil = time.Time{}
		u.lastAnswer = now
	}
}

// recordResult updates the failures, latency and ejection of an upstream with the result of a
// request and its duration.
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

// eject takes an upstream out of use for a while, unless too many upstreams of its region are
// ejected already.
func (b *Balancer) eject(u *upstreamState, now time.Time) {
	ejected := 0
	regional := b.byRegion[u.Region]
	for _, p := range regional {
		if p != u && p.ejected(now) {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectionShare*float64(len(regional)) {
		return
	}
	d := min(baseEjectionTime<<min(u.ejections, 10), maxEjectionTime)
	u.ejections++
	u.failures = 0
	u.ejectedUntil = now.Add(d)
}
