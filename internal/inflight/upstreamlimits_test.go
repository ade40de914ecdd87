package inflight

import (
	"math"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// fakeUpstreamLimits implements UpstreamLimits for one upstream to which no entry sends.
type fakeUpstreamLimits struct {
	mu       sync.Mutex
	register ratelimit.Register
	unsent   bool
	urgent   chan struct{}
}

func newFakeUpstreamLimits() *fakeUpstreamLimits {
	return &fakeUpstreamLimits{urgent: make(chan struct{}, 1)}
}

func (l *fakeUpstreamLimits) UrgentLimitUpdates() <-chan struct{} { return l.urgent }

func (l *fakeUpstreamLimits) LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.register.Version() == 0 || scope == balance.UnsentUpdates && !l.unsent {
		return nil
	}
	u := balance.LimitUpdate{Upstream: testUpstream, PerSecond: l.register.PerSecond(), Version: l.register.Version(), Changed: l.unsent}
	l.unsent = false
	return []balance.LimitUpdate{u}
}

func (l *fakeUpstreamLimits) LimitSenders() map[string]bool { return nil }

func (l *fakeUpstreamLimits) ApplyLimitUpdates(_ string, _ uint64, updates []balance.LimitUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range updates {
		if l.register.Merge(u.PerSecond, u.Version, time.Now()) == ratelimit.MergeAdopted {
			l.limitChanged()
		}
	}
}

// setLimit records a response in which the upstream announces a limit.
func (l *fakeUpstreamLimits) setLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.register.Observe(perSecond, now, now) {
		l.limitChanged()
	}
}

// limitChanged requests an urgent report. The caller holds l.mu.
func (l *fakeUpstreamLimits) limitChanged() {
	l.unsent = true
	select {
	case l.urgent <- struct{}{}:
	default:
	}
}

func (l *fakeUpstreamLimits) limit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.register.PerSecond()
}

// TestLimitsReachAllEntries has one entry receive a limit, and another the end of the limit, in
// a fleet with direct reports and in a fleet with hubs.
func TestLimitsReachAllEntries(t *testing.T) {
	for _, perDomain := range []int{4, maxDirect} {
		all := startFleet(t, perDomain)
		for _, step := range []struct {
			observer  int
			perSecond float64
		}{{perDomain - 1, 6.2}, {0, 2.5}, {2*perDomain - 1, ratelimit.Unlimited}} {
			all[step.observer].upstreamLimits.setLimit(step.perSecond)
			for _, e := range all {
				for e.upstreamLimits.limit() != step.perSecond {
					time.Sleep(pollEvery)
				}
			}
		}
	}
}

func TestRatesRoundTrip(t *testing.T) {
	want := &Report{
		Entry: "edge-1", Scope: ScopeNone, Last: allUpstreams, HasLimitUpdates: true,
		LimitUpdates: []balance.LimitUpdate{
			{Upstream: 0xfedcba98, PerSecond: 6.2, Version: 3, Sent: 70_000},
			{Upstream: 1, PerSecond: 0, Version: math.MaxUint32},
			{Upstream: 2, PerSecond: 2.346, Version: 1, Sent: math.MaxUint32},
			{Upstream: 3, PerSecond: ratelimit.Unlimited, Version: 4},
		},
	}
	got, err := Decode(want.Append(nil))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestRatesFitADatagram(t *testing.T) {
	worst := balance.LimitUpdate{Upstream: allUpstreams, PerSecond: 1e6, Version: 1 << 20, Sent: math.MaxUint32}
	r := Report{Entry: "an entry with a name of some length", Incarnation: 1 << 60, Sequence: 1 << 40, HasLimitUpdates: true}
	r.LimitUpdates = slices.Repeat([]balance.LimitUpdate{worst}, maxLimitUpdates)
	if n := len(r.Append(nil)); n > maxDatagram {
		t.Errorf("report has %d bytes, more than a datagram", n)
	}
}

func TestMalformedRates(t *testing.T) {
	whole := appendLimitUpdates(nil, []balance.LimitUpdate{{Upstream: 1, PerSecond: 5, Version: 1, Sent: 2}})
	for name, b := range map[string][]byte{
		"cut":       whole[:len(whole)-1],
		"half":      whole[:3],
		"too many":  slices.Repeat(whole, maxLimitUpdates+1),
		"too large": append(slices.Clone(whole[:4]), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 1, 1),
	} {
		if got, err := decodeLimitUpdates(b); err == nil {
			t.Errorf("%s is accepted: %v", name, got)
		}
	}
}
