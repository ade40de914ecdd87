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
	// LeaseTTL is how long a lease lasts unless it is renewed.
	LeaseTTL = 10 * time.Second
	// leaseMargin is by how much the holder stops before the lease lapses. It
	// covers the difference in speed of the holder's clock and the platform's.
	leaseMargin = 2 * time.Second
	// renewEvery is how often a lease is renewed.
	renewEvery = 3 * time.Second
	// holdMargin is added to the longest time that a request may take before a
	// lapsed grant is struck out.
	holdMargin = 2 * time.Second
	// markCheckEvery is how often a holder looks for lapsed leases of others when
	// it is not short itself.
	markCheckEvery = 30 * time.Second
	// swapTries bounds the races that one round may lose.
	swapTries = 3
)

// Keeper takes part in the division of caps for one instance. It is safe for
// concurrent use, but one Round must end before the next.
type Keeper struct {
	store coordination.Store
	id    string
	home  string
	// boot is the machine's clock since boot, now the wall clock.
	boot func() int64
	now  func() time.Time

	mu sync.Mutex
	// lease is the own lease, renewed when it was last asked for, until when it
	// may be used.
	lease   coordination.LeaseID
	renewed int64
	until   int64
	regions map[string]*region
	// absent is when a lease of another holder was first seen to have lapsed.
	absent    map[uint64]int64
	markCheck int64
}

// region is the state of one region's ledger.
type region struct {
	terms  Terms
	ledger Ledger
	usage  Demand
	// pending is a ledger whose swap at pendingAt got no answer: it may still
	// take effect as long as the store's ledger is at that version.
	pending   *Ledger
	pendingAt uint64
	// sent are the limits last sent to the entry, by service.
	sent map[string]int
}

// NewKeeper returns a Keeper for an instance of a region. The id must differ
// between two machines that take themselves for the same instance.
func NewKeeper(store coordination.Store, id, home string, boot func() int64, now func() time.Time) *Keeper {
	return &Keeper{
		store: store, id: id, home: home, boot: boot, now: now,
		regions: make(map[string]*region), absent: make(map[uint64]int64),
	}
}

// ledgerKey returns the key of a region's ledger.
func ledgerKey(region string) string { return "share/" + region }

// markKey returns the key that exists as long as a lease.
func markKey(lease uint64) string { return fmt.Sprintf("lease/%d", lease) }

// Round renews the lease and brings the ledgers of all regions with caps up to
// date. Hold is the longest time that a request may take.
func (k *Keeper) Round(ctx context.Context, all []Terms, hold time.Duration) error {
	errs := []error{k.renew(ctx)}
	k.mu.Lock()
	k.setTerms(all)
	k.mu.Unlock()
	for _, t := range all {
		if k.takesPart(t) {
			errs = append(errs, k.settle(ctx, t, hold))
		}
	}
	return errors.Join(errs...)
}

func (k *Keeper) setTerms(all []Terms) {
	known := make(map[string]bool, len(all))
	for _, t := range all {
		known[t.Region] = true
		k.region(t.Region).terms = t
	}
	for name := range k.regions {
		if !known[name] {
			delete(k.regions, name)
		}
	}
}

// region returns the state of a region. The caller holds the lock.
func (k *Keeper) region(name string) *region {
	r := k.regions[name]
	if r == nil {
		r = &region{usage: make(Demand), sent: make(map[string]int)}
		k.regions[name] = r
	}
	return r
}

// takesPart reports whether the instance has to do with a region's caps.
func (k *Keeper) takesPart(t Terms) bool {
	if t.Region == k.home {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.region(t.Region)
	for _, c := range t.Caps {
		u := r.usage[c.Service]
		if u.InFlight+u.Refused+r.ledger.GrantOf(k.id, uint64(k.lease), c.Service) > 0 {
			return true
		}
	}
	return false
}

// renew extends the own lease, or takes a new one. The time up to which it may
// be used counts from before the call.
func (k *Keeper) renew(ctx context.Context) error {
	k.mu.Lock()
	lease, due := k.lease, k.boot()-k.renewed >= int64(renewEvery) || k.lease == 0
	k.mu.Unlock()
	if !due {
		return nil
	}
	asked := k.boot()
	var err error
	if lease == 0 {
		lease, err = k.takeLease(ctx)
	} else if err = k.store.KeepAlive(ctx, lease); errors.Is(err, coordination.ErrLeaseNotFound) {
		lease, err = k.takeLease(ctx)
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.renewed = lease, asked
	k.until = asked + int64(LeaseTTL-leaseMargin)
	return nil
}

func (k *Keeper) takeLease(ctx context.Context) (coordination.LeaseID, error) {
	lease, err := k.store.Grant(ctx, LeaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = k.store.CompareAndSwap(ctx, markKey(uint64(lease)), coordination.Absent, []byte(k.id), lease)
	return lease, err
}

// settle reads a region's ledger, plans the next, and swaps it in.
func (k *Keeper) settle(ctx context.Context, t Terms, hold time.Duration) error {
	for range swapTries {
		e, err := k.store.Get(ctx, ledgerKey(t.Region))
		if err != nil {
			return err
		}
		ledger, err := DecodeLedger(e.Value)
		if err != nil {
			return err
		}
		k.confirm(t, ledger, e.Version)
		if err := k.checkMarks(ctx, t, ledger); err != nil {
			return err
		}
		next, changed := Plan(ledger, t, k.holder(t, hold), k.demand(t.Region))
		if !changed {
			return nil
		}
		done, err := k.swap(ctx, t, ledger, next, e.Version)
		if done || err != nil {
			return err
		}
	}
	return nil
}

// swap writes the next ledger in the place of now, and reports whether it did.
func (k *Keeper) swap(ctx context.Context, t Terms, now, next Ledger, version uint64) (bool, error) {
	body, err := next.Encode()
	if err != nil {
		return false, err
	}
	written, err := k.store.CompareAndSwap(ctx, ledgerKey(t.Region), version, body, 0)
	switch {
	case err == nil:
		k.confirm(t, next, written)
		return true, nil
	case errors.Is(err, coordination.ErrConflict):
		return false, nil
	}
	k.mu.Lock()
	r := k.region(t.Region)
	r.pending, r.pendingAt = &next, version
	k.mu.Unlock()
	k.confirm(t, now, version)
	return false, err
}

// confirm installs what the store holds at a version. While an earlier swap may
// still take effect there, the holder relies on the smaller of the two.
func (k *Keeper) confirm(t Terms, l Ledger, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.region(t.Region)
	if r.pending != nil && version != r.pendingAt {
		r.pending = nil
	}
	if r.pending != nil {
		l = k.smaller(l, *r.pending, t)
	}
	r.ledger = l
}

// smaller returns l with the smaller of the own grants in l and other. The
// caller holds the lock.
func (k *Keeper) smaller(l, other Ledger, t Terms) Ledger {
	out := l.clone()
	lease := uint64(k.lease)
	for _, c := range t.Caps {
		n := min(l.GrantOf(k.id, lease, c.Service), other.GrantOf(k.id, lease, c.Service))
		out.setGrant(Grant{k.id, lease, c.Service, n})
	}
	return out
}

// checkMarks looks which leases of other holders have lapsed, if the own demand
// is not met or it is time to.
func (k *Keeper) checkMarks(ctx context.Context, t Terms, l Ledger) error {
	if !k.short(t, l) && k.boot()-k.markCheck < int64(markCheckEvery) {
		return nil
	}
	k.markCheck = k.boot()
	checked := map[uint64]bool{uint64(k.lease): true}
	for _, g := range l.Grants {
		if checked[g.Lease] {
			continue
		}
		checked[g.Lease] = true
		e, err := k.store.Get(ctx, markKey(g.Lease))
		if err != nil {
			return err
		}
		k.note(g.Lease, e.Version == coordination.Absent)
	}
	return nil
}

func (k *Keeper) note(lease uint64, lapsed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !lapsed {
		delete(k.absent, lease)
		return
	}
	if _, ok := k.absent[lease]; !ok {
		k.absent[lease] = k.boot()
	}
}

// short reports whether a pool has less left than the holder could use.
func (k *Keeper) short(t Terms, l Ledger) bool {
	d := k.demand(t.Region)
	for _, c := range t.Caps {
		if d[c.Service].Refused > 0 && l.Granted(c.Service) >= t.Pool(c) {
			return true
		}
	}
	return false
}

func (k *Keeper) holder(t Terms, hold time.Duration) Holder {
	return Holder{ID: k.id, Home: t.Region == k.home, Lease: k.usableLease(), Lapsed: func(g Grant) bool { return k.lapsed(g, hold) }, Now: k.now()}
}

// usableLease returns the own lease, or 0 if its time is up.
func (k *Keeper) usableLease() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.boot() >= k.until {
		return 0
	}
	return uint64(k.lease)
}

func (k *Keeper) lapsed(g Grant, hold time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	since, ok := k.absent[g.Lease]
	return ok && k.boot()-since >= int64(hold+holdMargin)
}

// demand returns what the entry uses of a region's caps. Its limit counts as the
// larger of the one that it reported and the one last sent to it.
func (k *Keeper) demand(name string) Demand {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.region(name)
	out := make(Demand, len(r.usage))
	for service, u := range r.usage {
		u.Limit = max(u.Limit, r.sent[service])
		out[service] = u
	}
	return out
}

// Report takes in what the entry uses, and returns the limits for it.
func (k *Keeper) Report(usage []Reported) []Limit {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, u := range usage {
		if r := k.regions[u.Region]; r != nil {
			r.usage[u.Service] = u.Usage
		}
	}
	var out []Limit
	for name, r := range k.regions {
		for _, c := range r.terms.Caps {
			out = append(out, k.limit(name, r, c))
		}
	}
	return out
}

// Reported is what an entry uses of one cap.
type Reported struct {
	Service, Region string
	Usage
}

func (k *Keeper) limit(name string, r *region, c Cap) Limit {
	h := Holder{ID: k.id, Home: name == k.home, Lease: uint64(k.lease)}
	floor, grant := Target(r.ledger, r.terms, c, h, r.usage[c.Service])
	r.sent[c.Service] = floor + grant
	return Limit{
		Service: c.Service, Region: name,
		Floor: floor, FloorUntil: k.seatUntil(r.ledger),
		Grant: grant, GrantUntil: k.until,
	}
}

// seatUntil returns until when the own seat may be used, by the clock since
// boot.
func (k *Keeper) seatUntil(l Ledger) int64 {
	for _, s := range l.Seats {
		if s.Holder == k.id {
			left := time.Unix(s.Renewed, 0).Add(seatUse).Sub(k.now())
			return k.boot() + int64(left)
		}
	}
	return 0
}

// RegionStatus is the state of one region's caps, for dumps.
type RegionStatus struct {
	Terms  Terms  `json:"terms"`
	Ledger Ledger `json:"ledger"`
}

// Dump returns the state of all regions with caps.
func (k *Keeper) Dump() map[string]RegionStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]RegionStatus, len(k.regions))
	for name, r := range k.regions {
		out[name] = RegionStatus{r.terms, r.ledger}
	}
	return out
}
