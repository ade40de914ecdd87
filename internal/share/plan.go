package share

import "time"

const (
	// SeatTTL is how long a seat stays with its holder after the last confirmation.
	SeatTTL = 24 * time.Hour
	// seatUsePeriod is how long a holder uses its seat after confirming it. It is
	// shorter than SeatTTL by more than the wall clocks of instances differ.
	seatUsePeriod = SeatTTL - 2*time.Hour
	// seatRenewPeriod is how often a holder confirms its seat.
	seatRenewPeriod = time.Hour
	// demandFactor scales the requests in flight to the limit that a holder asks for.
	demandFactor = 1.25
)

// Demand is what an instance uses of the caps of a region, by service.
type Demand map[string]Usage

// Usage is what an entry uses of one cap, in requests.
type Usage struct {
	InFlight int
	// Refused counts the requests refused at the limit since the previous report.
	Refused int
	// Limit is the limit that the entry enforces.
	Limit int
}

// Holder describes the instance on whose behalf a ledger is changed.
type Holder struct {
	ID string
	// Local is true if the instance is in the region of the ledger.
	Local bool
	// Lease is the instance's lease, or 0 without a valid one.
	Lease uint64
	// Reclaimable reports whether a grant's lease lapsed so long ago that no request
	// that began under it can still run.
	Reclaimable func(g Grant) bool
	// Now is the wall clock time.
	Now time.Time
}

// Plan returns the ledger that the holder wants to store next, and whether it differs
// from l. The holder takes or confirms its seat, removes the reclaimable grants of other
// leases and adjusts the grants of its own lease to its demand.
func Plan(l Ledger, cfg CapConfig, h Holder, d Demand) (Ledger, bool) {
	next := l.clone()
	changed := next.claimSeat(cfg, h)
	cfg = cfg.withTakenSeats(next)
	for _, g := range l.Grants {
		if g.Holder == h.ID && g.Lease == h.Lease {
			continue
		}
		if h.Reclaimable(g) {
			next.removeGrants(g.Holder, g.Lease)
			changed = true
		}
	}
	if h.Lease == 0 {
		return next, changed
	}
	for _, c := range cfg.Caps {
		have := next.GrantAmount(h.ID, h.Lease, c.Service)
		want := next.wantedGrant(cfg, c, h, d[c.Service], have)
		if want != have {
			next.setGrant(Grant{h.ID, h.Lease, c.Service, want})
			changed = true
		}
	}
	return next, changed
}

// claimSeat takes a free or expired seat for a local holder, or confirms the one that
// it has once seatRenewPeriod has passed. It reports whether the ledger changed.
func (l *Ledger) claimSeat(cfg CapConfig, h Holder) bool {
	if !h.Local {
		return false
	}
	now := h.Now.Unix()
	for i := range l.Seats {
		if l.Seats[i].Holder == h.ID {
			due := now-l.Seats[i].Renewed >= int64(seatRenewPeriod.Seconds())
			if due {
				l.Seats[i].Renewed = now
			}
			return due
		}
	}
	if len(l.Seats) < cfg.Seats {
		l.Seats = append(l.Seats, Seat{h.ID, now})
		return true
	}
	for i := range l.Seats {
		if now-l.Seats[i].Renewed > int64(SeatTTL.Seconds()) {
			l.Seats[i] = Seat{h.ID, now}
			return true
		}
	}
	return false
}

// wantedGrant returns the amount that the holder should have of a cap's pool: enough
// for its requests in flight and a reserve, within the free part of the pool. The
// amount isn't lowered below what the entry's enforced limit and its requests in flight
// need.
func (l Ledger) wantedGrant(cfg CapConfig, c Cap, h Holder, u Usage, have int) int {
	floor := 0
	if h.Local && l.HasSeat(h.ID) {
		floor = cfg.SeatFloor(c)
	}
	pool := cfg.Pool(c)
	free := pool - l.TotalGranted(c.Service)
	need := int(demandFactor*float64(u.InFlight)) + u.Refused + 1 - floor
	if free < 0 {
		// The cap was lowered: every holder returns its part of the excess.
		need = min(need, have*max(pool, 0)/(pool-free))
	}
	if need > have {
		return have + max(0, min(need-have, maxIncrease(free)))
	}
	kept := max(need, u.Limit-floor, u.InFlight-floor, 0)
	return min(have, kept)
}

// maxIncrease returns by how much a holder may raise a grant in one step: half of the
// free part of the pool, so that no single holder empties the pool at once.
func maxIncrease(free int) int { return (free + 1) / 2 }

// TargetLimit returns the parts of the limit that an entry should enforce for a cap, in
// requests: all that the holder has in the ledger, or less if the holder is about to
// return a part of its grant.
func TargetLimit(l Ledger, cfg CapConfig, c Cap, h Holder, u Usage) (floor, grant int) {
	cfg = cfg.withTakenSeats(l)
	if h.Local && l.HasSeat(h.ID) {
		floor = cfg.SeatFloor(c)
	}
	have := l.GrantAmount(h.ID, h.Lease, c.Service)
	need := max(0, int(demandFactor*float64(u.InFlight))+u.Refused+1-floor)
	if cfg.Pool(c) < l.TotalGranted(c.Service) {
		need = min(need, have*max(cfg.Pool(c), 0)/l.TotalGranted(c.Service))
	}
	if need < have-slack(have) || cfg.Pool(c) < l.TotalGranted(c.Service) {
		return floor, min(have, need)
	}
	return floor, have
}

// slack returns how much more than its need a holder keeps of a grant, so that small
// variations of the load don't change the ledger.
func slack(have int) int { return max(1, have/4) }
