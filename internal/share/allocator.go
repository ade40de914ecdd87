package share

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

const (
	// LeaseTTL is the time to live of a lease that is not renewed.
	LeaseTTL = 10 * time.Second
	// leaseMargin is how long before the expiry of its lease a holder stops using its
	// grants. It covers the difference in speed between the holder's clock and the
	// store's clock.
	leaseMargin = 2 * time.Second
	// leaseRenewPeriod is how often a lease is renewed.
	leaseRenewPeriod = 3 * time.Second
	// reclaimMargin is added to the longest time that a request may take. The grants of
	// a lapsed lease are removed once the lease has been seen as lapsed for the sum.
	reclaimMargin = 2 * time.Second
	// lapseCheckPeriod is how often a holder looks for lapsed leases of others while
	// its own demand is met.
	lapseCheckPeriod = 30 * time.Second
	// maxSwapAttempts bounds how often one round retries after a conflicting swap.
	maxSwapAttempts = 3
)

// Allocator manages the seat and the grants of one instance in the ledgers of all
// regions. It is safe for concurrent use, except that one call of Reconcile must return
// before the next.
type Allocator struct {
	store     coordination.Store
	id        string
	ownRegion string
	// bootClock returns the nanoseconds since the machine's boot, and now returns the
	// wall clock time.
	bootClock func() int64
	now       func() time.Time

	mu sync.Mutex
	// lease is the own lease, or 0. renewedAt is when the last successful renewal
	// was requested, and usableUntil when the use of the lease must end, both by the
	// boot clock.
	lease       coordination.LeaseID
	renewedAt   int64
	usableUntil int64
	regions     map[string]*regionState
	// lapsedSince holds when a lease of another holder was first seen as lapsed, by the
	// boot clock.
	lapsedSince    map[uint64]int64
	lastLapseCheck int64
}

// regionState is an Allocator's state of one region's caps.
type regionState struct {
	config CapConfig
	ledger Ledger
	usage  Demand
	// pending is a ledger whose swap against pendingVersion got no reply, or nil. The
	// swap may still take effect while the stored ledger has that version.
	pending        *Ledger
	pendingVersion uint64
	// sentLimits are the limits last returned to the entry, by service, in requests.
	sentLimits map[string]int
}

// NewAllocator returns an Allocator for an instance in ownRegion. Two machines that
// run under the same instance name must have different IDs. bootClock returns the
// nanoseconds since the machine's boot, and now returns the wall clock time.
func NewAllocator(store coordination.Store, id, ownRegion string, bootClock func() int64, now func() time.Time) *Allocator {
	return &Allocator{
		store: store, id: id, ownRegion: ownRegion, bootClock: bootClock, now: now,
		regions: make(map[string]*regionState), lapsedSince: make(map[uint64]int64),
	}
}

// ledgerKey returns the store key of a region's ledger.
func ledgerKey(region string) string { return "share/" + region }

// leaseMarkerKey returns the store key that exists as long as a lease does.
func leaseMarkerKey(lease uint64) string { return fmt.Sprintf("lease/%d", lease) }

// Reconcile renews the lease and updates the ledgers of the regions with caps that
// concern this instance. maxRequestTime is the longest time that a request may take.
// The error joins the errors of the renewal and of all regions.
func (a *Allocator) Reconcile(ctx context.Context, configs []CapConfig, maxRequestTime time.Duration) error {
	errs := []error{a.renew(ctx)}
	a.mu.Lock()
	a.setConfigs(configs)
	a.mu.Unlock()
	for _, cfg := range configs {
		if a.isInvolved(cfg) {
			errs = append(errs, a.reconcileRegion(ctx, cfg, maxRequestTime))
		}
	}
	return errors.Join(errs...)
}

// setConfigs replaces the cap configuration and drops the state of regions without
// caps. The caller holds the lock.
func (a *Allocator) setConfigs(configs []CapConfig) {
	known := make(map[string]bool, len(configs))
	for _, cfg := range configs {
		known[cfg.Region] = true
		a.region(cfg.Region).config = cfg
	}
	for name := range a.regions {
		if !known[name] {
			delete(a.regions, name)
		}
	}
}

// region returns the state of a region, which it creates if necessary. The caller holds
// the lock.
func (a *Allocator) region(name string) *regionState {
	r := a.regions[name]
	if r == nil {
		r = &regionState{usage: make(Demand), sentLimits: make(map[string]int)}
		a.regions[name] = r
	}
	return r
}

// isInvolved reports whether the instance belongs to a region, uses its caps or has
// grants of them.
func (a *Allocator) isInvolved(cfg CapConfig) bool {
	if cfg.Region == a.ownRegion {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.region(cfg.Region)
	for _, c := range cfg.Caps {
		u := r.usage[c.Service]
		if u.InFlight+u.Refused+r.ledger.GrantAmount(a.id, uint64(a.lease), c.Service) > 0 {
			return true
		}
	}
	return false
}

// renew extends the own lease if that is due, or takes a new one. The lease's usable
// time is counted from before the call to the store, so that it ends before the lease
// expires there.
func (a *Allocator) renew(ctx context.Context) error {
	a.mu.Lock()
	lease, due := a.lease, a.bootClock()-a.renewedAt >= int64(leaseRenewPeriod) || a.lease == 0
	a.mu.Unlock()
	if !due {
		return nil
	}
	requestedAt := a.bootClock()
	var err error
	if lease == 0 {
		lease, err = a.newLease(ctx)
	} else if err = a.store.KeepAlive(ctx, lease); errors.Is(err, coordination.ErrLeaseNotFound) {
		lease, err = a.newLease(ctx)
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease, a.renewedAt = lease, requestedAt
	a.usableUntil = requestedAt + int64(LeaseTTL-leaseMargin)
	return nil
}

// newLease takes a lease and writes its marker key, which lets other holders see when
// the lease lapses.
func (a *Allocator) newLease(ctx context.Context) (coordination.LeaseID, error) {
	lease, err := a.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = a.store.CompareAndSwap(ctx, leaseMarkerKey(uint64(lease)), coordination.Absent, []byte(a.id), lease)
	return lease, err
}

// reconcileRegion reads a region's ledger, plans the next one and swaps it in.
func (a *Allocator) reconcileRegion(ctx context.Context, cfg CapConfig, maxRequestTime time.Duration) error {
	for range maxSwapAttempts {
		e, err := a.store.Get(ctx, ledgerKey(cfg.Region))
		if err != nil {
			return err
		}
		ledger, err := DecodeLedger(e.Value)
		if err != nil {
			return err
		}
		a.installLedger(cfg, ledger, e.Version)
		if err := a.checkLeases(ctx, cfg, ledger); err != nil {
			return err
		}
		next, changed := Plan(ledger, cfg, a.holder(cfg, maxRequestTime), a.demand(cfg.Region))
		if !changed {
			return nil
		}
		written, err := a.swap(ctx, cfg, ledger, next, e.Version)
		if written || err != nil {
			return err
		}
	}
	return nil
}

// swap replaces the current ledger, stored at a version, by the next. It returns false
// without an error on a version conflict. After any other error the swap may still take
// effect, so the next ledger is kept as pending.
func (a *Allocator) swap(ctx context.Context, cfg CapConfig, current, next Ledger, version uint64) (bool, error) {
	body, err := next.Encode()
	if err != nil {
		return false, err
	}
	newVersion, err := a.store.CompareAndSwap(ctx, ledgerKey(cfg.Region), version, body, 0)
	switch {
	case err == nil:
		a.installLedger(cfg, next, newVersion)
		return true, nil
	case errors.Is(err, coordination.ErrConflict):
		return false, nil
	}
	a.mu.Lock()
	r := a.region(cfg.Region)
	r.pending, r.pendingVersion = &next, version
	a.mu.Unlock()
	a.installLedger(cfg, current, version)
	return false, err
}

// installLedger records the ledger that the store holds at a version. While an earlier
// swap may still replace it there, each own grant is the smaller one of both ledgers.
func (a *Allocator) installLedger(cfg CapConfig, l Ledger, version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.region(cfg.Region)
	if r.pending != nil && version != r.pendingVersion {
		r.pending = nil
	}
	if r.pending != nil {
		l = a.withSmallerGrants(l, *r.pending, cfg)
	}
	r.ledger = l
}

// withSmallerGrants returns l with each own grant lowered to that in other, if that is
// smaller. The caller holds the lock.
func (a *Allocator) withSmallerGrants(l, other Ledger, cfg CapConfig) Ledger {
	out := l.clone()
	lease := uint64(a.lease)
	for _, c := range cfg.Caps {
		n := min(l.GrantAmount(a.id, lease, c.Service), other.GrantAmount(a.id, lease, c.Service))
		out.setGrant(Grant{a.id, lease, c.Service, n})
	}
	return out
}

// checkLeases looks up which leases of other holders have lapsed, if the own demand is
// not met or lapseCheckPeriod has passed.
func (a *Allocator) checkLeases(ctx context.Context, cfg CapConfig, l Ledger) error {
	if !a.needsMore(cfg, l) && a.bootClock()-a.lastLapseCheck < int64(lapseCheckPeriod) {
		return nil
	}
	a.lastLapseCheck = a.bootClock()
	checked := map[uint64]bool{uint64(a.lease): true}
	for _, g := range l.Grants {
		if checked[g.Lease] {
			continue
		}
		checked[g.Lease] = true
		e, err := a.store.Get(ctx, leaseMarkerKey(g.Lease))
		if err != nil {
			return err
		}
		a.recordLease(g.Lease, e.Version == coordination.Absent)
	}
	return nil
}

// recordLease records whether the lease of another holder was seen as lapsed.
func (a *Allocator) recordLease(lease uint64, lapsed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !lapsed {
		delete(a.lapsedSince, lease)
		return
	}
	if _, ok := a.lapsedSince[lease]; !ok {
		a.lapsedSince[lease] = a.bootClock()
	}
}

// needsMore reports whether the entry had refusals at a cap whose pool is used up.
func (a *Allocator) needsMore(cfg CapConfig, l Ledger) bool {
	d := a.demand(cfg.Region)
	for _, c := range cfg.Caps {
		if d[c.Service].Refused > 0 && l.TotalGranted(c.Service) >= cfg.Pool(c) {
			return true
		}
	}
	return false
}

// holder returns the planning input that describes this instance.
func (a *Allocator) holder(cfg CapConfig, maxRequestTime time.Duration) Holder {
	return Holder{ID: a.id, Local: cfg.Region == a.ownRegion, Lease: a.usableLease(), Reclaimable: func(g Grant) bool { return a.isReclaimable(g, maxRequestTime) }, Now: a.now()}
}

// usableLease returns the own lease, or 0 once its usable time has ended.
func (a *Allocator) usableLease() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bootClock() >= a.usableUntil {
		return 0
	}
	return uint64(a.lease)
}

// isReclaimable reports whether a grant's lease lapsed so long ago that no request that
// began under it can still run.
func (a *Allocator) isReclaimable(g Grant, maxRequestTime time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, ok := a.lapsedSince[g.Lease]
	return ok && a.bootClock()-since >= int64(maxRequestTime+reclaimMargin)
}

// demand returns what the entry uses of a region's caps. The limit of each cap is the
// larger of the reported one and the one last sent, since the entry may enforce either.
func (a *Allocator) demand(name string) Demand {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.region(name)
	out := make(Demand, len(r.usage))
	for service, u := range r.usage {
		u.Limit = max(u.Limit, r.sentLimits[service])
		out[service] = u
	}
	return out
}

// ApplyUsage records what the entry reports of its use, and returns the limits that the
// entry must enforce, one per cap of each region.
func (a *Allocator) ApplyUsage(usage []CapUsage) []Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range usage {
		if r := a.regions[u.Region]; r != nil {
			r.usage[u.Service] = u.Usage
		}
	}
	var out []Limit
	for name, r := range a.regions {
		for _, c := range r.config.Caps {
			out = append(out, a.limit(name, r, c))
		}
	}
	return out
}

// CapUsage is what an entry reports of its use of one cap.
type CapUsage struct {
	Service, Region string
	Usage
}

// limit returns the limit of one cap for the entry, and records it as sent. The caller
// holds the lock.
func (a *Allocator) limit(name string, r *regionState, c Cap) Limit {
	h := Holder{ID: a.id, Local: name == a.ownRegion, Lease: uint64(a.lease)}
	floor, grant := TargetLimit(r.ledger, r.config, c, h, r.usage[c.Service])
	r.sentLimits[c.Service] = floor + grant
	return Limit{
		Service: c.Service, Region: name,
		Floor: floor, FloorUntil: a.seatUsableUntil(r.ledger),
		Grant: grant, GrantUntil: a.usableUntil,
	}
}

// seatUsableUntil returns when the use of the own seat must end, in nanoseconds of the
// boot clock, or 0 without a seat. The caller holds the lock.
func (a *Allocator) seatUsableUntil(l Ledger) int64 {
	for _, s := range l.Seats {
		if s.Holder == a.id {
			left := time.Unix(s.Renewed, 0).Add(seatUsePeriod).Sub(a.now())
			return a.bootClock() + int64(left)
		}
	}
	return 0
}

// RegionStatus is the configuration and the last installed ledger of one region's caps,
// for dumps.
type RegionStatus struct {
	Config CapConfig `json:"terms"`
	Ledger Ledger    `json:"ledger"`
}

// Dump returns the status of all regions with caps, by region name.
func (a *Allocator) Dump() map[string]RegionStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]RegionStatus, len(a.regions))
	for name, r := range a.regions {
		out[name] = RegionStatus{r.config, r.ledger}
	}
	return out
}
