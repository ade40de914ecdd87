package share

import "time"

const (
	// SeatTTL is how long a seat outlives the last word of its holder.
	SeatTTL = 24 * time.Hour
	// seatUse is how long a holder uses its seat after it confirmed it. It is
	// shorter than SeatHold by more than the wall clocks of instances differ.
	seatUse = SeatTTL - 2*time.Hour
	// seatRenew is how often a holder confirms its seat.
	seatRenew = time.Hour
	// headroom is by how much a holder asks for more than it uses.
	headroom = 1.25
)

// Demand is what an instance uses of the caps of a region, by service.
type Demand map[string]Usage

// Usage is what an entry uses of one cap.
type Usage struct {
	InFlight int
	// Refused counts the requests that found the limit reached since the last
	// report.
	Refused int
	// Limit is the limit that the entry keeps to.
	Limit int
}

// Holder is who plans.
type Holder struct {
	ID string
	// Local is true if the holder stands in the region of the ledger.
	Local bool
	// Lease is the holder's lease, or 0.
	Lease uint64
	// Reclaimable reports whether a grant's lease lapsed so long ago that no request
	// begun under it can still run.
	Reclaimable func(g Grant) bool
	// Now is the wall clock.
	Now time.Time
}

// Plan returns the ledger as the holder wants it next, and whether it differs.
func Plan(l Ledger, t CapConfig, h Holder, d Demand) (Ledger, bool) {
	next := l.clone()
	changed := next.seat(t, h)
	t = t.seated(next)
	for _, g := range l.Grants {
		if g.Holder == h.ID && g.Lease == h.Lease {
			continue
		}
		if h.Reclaimable(g) {
			next.strike(g.Holder, g.Lease)
			changed = true
		}
	}
	if h.Lease == 0 {
		return next, changed
	}
	for _, c := range t.Caps {
		have := next.GrantAmount(h.ID, h.Lease, c.Service)
		want := next.wanted(t, c, h, d[c.Service], have)
		if want != have {
			next.setGrant(Grant{h.ID, h.Lease, c.Service, want})
			changed = true
		}
	}
	return next, changed
}

// seat takes or confirms the holder's seat.
func (l *Ledger) seat(t CapConfig, h Holder) bool {
	if !h.Local {
		return false
	}
	now := h.Now.Unix()
	for i := range l.Seats {
		if l.Seats[i].Holder == h.ID {
			due := now-l.Seats[i].Renewed >= int64(seatRenew.Seconds())
			if due {
				l.Seats[i].Renewed = now
			}
			return due
		}
	}
	if len(l.Seats) < t.Seats {
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

// wanted returns the grant that the holder should have of a cap: enough for its
// requests in flight and some more, within what the pool has left. A grant is
// lowered only to what the entry already keeps to.
func (l Ledger) wanted(t CapConfig, c Cap, h Holder, u Usage, have int) int {
	floor := 0
	if h.Local && l.HasSeat(h.ID) {
		floor = t.SeatFloor(c)
	}
	pool := t.Pool(c)
	free := pool - l.TotalGranted(c.Service)
	need := int(headroom*float64(u.InFlight)) + u.Refused + 1 - floor
	if free < 0 {
		// The cap was lowered: every holder gives back its part of the excess.
		need = min(need, have*max(pool, 0)/(pool-free))
	}
	if need > have {
		return have + max(0, min(need-have, fairPart(free)))
	}
	kept := max(need, u.Limit-floor, u.InFlight-floor, 0)
	return min(have, kept)
}

// fairPart keeps one round of one holder from emptying the pool.
func fairPart(free int) int { return (free + 1) / 2 }

// TargetLimit returns the limit that an entry should keep to for a cap: all that it
// has, or less when the holder wants to give a part back.
func TargetLimit(l Ledger, t CapConfig, c Cap, h Holder, u Usage) (floor, grant int) {
	t = t.seated(l)
	if h.Local && l.HasSeat(h.ID) {
		floor = t.SeatFloor(c)
	}
	have := l.GrantAmount(h.ID, h.Lease, c.Service)
	need := max(0, int(headroom*float64(u.InFlight))+u.Refused+1-floor)
	if t.Pool(c) < l.TotalGranted(c.Service) {
		need = min(need, have*max(t.Pool(c), 0)/l.TotalGranted(c.Service))
	}
	if need < have-slack(have) || t.Pool(c) < l.TotalGranted(c.Service) {
		return floor, min(have, need)
	}
	return floor, have
}

// slack is how much more than needed a holder keeps, so that small swings of the
// load change nothing.
func slack(have int) int { return max(1, have/4) }
