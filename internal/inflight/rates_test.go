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

// fakeRates implements Rates for one upstream to which no entry sends.
type fakeRates struct {
	mu       sync.Mutex
	register ratelimit.Register
	unsent   bool
	urgent   chan struct{}
}

func newFakeRates() *fakeRates { return &fakeRates{urgent: make(chan struct{}, 1)} }

func (b *fakeRates) UrgentUpdates() <-chan struct{} { return b.urgent }

func (b *fakeRates) LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.register.Version() == 0 || scope == balance.UnsentUpdates && !b.unsent {
		return nil
	}
	n := balance.LimitUpdate{Upstream: testUpstream, PerSecond: b.register.PerSecond(), Version: b.register.Version(), Changed: b.unsent}
	b.unsent = false
	return []balance.LimitUpdate{n}
}

func (b *fakeRates) LimitSenders() map[string]bool { return nil }

func (b *fakeRates) ApplyPeerLimits(_ string, _ uint64, updates []balance.LimitUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range updates {
		if b.register.Merge(n.PerSecond, n.Version, time.Now()) == ratelimit.MergeAdopted {
			b.limitChanged()
		}
	}
}

// setLimit has a response of the upstream announce a limit.
func (b *fakeRates) setLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.register.Observe(perSecond, now, now) {
		b.limitChanged()
	}
}

// limitChanged requests an urgent report. The caller holds b.mu.
func (b *fakeRates) limitChanged() {
	b.unsent = true
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

func (b *fakeRates) limit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.register.PerSecond()
}

// TestLimitsReachAllEntries has one entry receive a limit, and another the end of the limit, in
// a fleet with direct reports and in a fleet with hubs.
func TestLimitsReachAllEntries(t *testing.T) {
	for _, each := range []int{4, maxDirect} {
		all := startFleet(t, each)
		for _, step := range []struct {
			learns    int
			perSecond float64
		}{{each - 1, 6.2}, {0, 2.5}, {2*each - 1, ratelimit.Unlimited}} {
			all[step.learns].limits.setLimit(step.perSecond)
			for _, e := range all {
				for e.limits.limit() != step.perSecond {
					time.Sleep(pollEvery)
				}
			}
		}
	}
}

func TestRatesRoundTrip(t *testing.T) {
	want := &Report{
		Entry: "edge-1", Scope: ScopeNone, Last: allUpstreams, HasRates: true,
		Rates: []balance.LimitUpdate{
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
	r := Report{Entry: "an entry with a name of some length", Incarnation: 1 << 60, Sequence: 1 << 40, HasRates: true}
	r.Rates = slices.Repeat([]balance.LimitUpdate{worst}, maxRates)
	if n := len(r.Append(nil)); n > maxDatagram {
		t.Errorf("report has %d bytes, more than a datagram", n)
	}
}

func TestMalformedRates(t *testing.T) {
	whole := appendRates(nil, []balance.LimitUpdate{{Upstream: 1, PerSecond: 5, Version: 1, Sent: 2}})
	for name, b := range map[string][]byte{
		"cut":       whole[:len(whole)-1],
		"half":      whole[:3],
		"too many":  slices.Repeat(whole, maxRates+1),
		"too large": append(slices.Clone(whole[:4]), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 1, 1),
	} {
		if got, err := decodeRates(b); err == nil {
			t.Errorf("%s is accepted: %v", name, got)
		}
	}
}
