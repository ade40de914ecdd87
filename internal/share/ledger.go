// Package share divides the caps of a region among the instances that use them.
//
// A cap limits the requests in flight of a service at a region's upstreams. A fixed
// fraction of each cap, the floor, is divided evenly among the seats of the region. An
// instance takes a seat once and keeps it while the key-value service is unreachable;
// another instance can take the seat over only SeatTTL after its holder last confirmed
// it. The rest of the cap is a pool from which instances of all regions take grants by
// demand. A grant is valid as long as its holder's lease.
//
// The sum of the limits in use never exceeds the cap, because
//
//   - the floors and the pool together equal the cap, and the number of seats is fixed;
//   - the ledger of a region is one stored value, changed by compare-and-swap, and no
//     change lets its grants exceed the pool;
//   - a holder compares the boot clock with the end of its lease, less a margin, at
//     each use of a grant, so a grant isn't used after a pause that outlasted the lease;
//   - other holders remove a grant only after its lease has been seen as lapsed for as
//     long as a request that began under the grant can take;
//   - a holder that returns a part of a grant first lowers the limit of its entry, and
//     lowers the ledger when its requests in flight have fallen to that limit.
package share

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// Cap is a limit on the requests in flight of a service in a region.
type Cap struct {
	Service string
	// Total is the limit, in requests.
	Total int
}

// CapConfig lists the caps of a region and how they are divided.
type CapConfig struct {
	Region string
	Caps   []Cap
	// Floor is the fraction of each cap that is divided among the seats.
	Floor float64
	// Seats is the number of seats.
	Seats int
}

// withTakenSeats returns the configuration with Seats raised to the number of seats
// that are taken in the ledger. Without that, lowering the number of seats would raise
// the floors of the present holders.
func (c CapConfig) withTakenSeats(l Ledger) CapConfig {
	c.Seats = max(c.Seats, len(l.Seats))
	return c
}

// SeatFloor returns the part of a cap that belongs to each seat, in requests.
func (c CapConfig) SeatFloor(limit Cap) int {
	return int(c.Floor*float64(limit.Total)) / max(c.Seats, 1)
}

// Pool returns the part of a cap that is available for grants, in requests.
func (c CapConfig) Pool(limit Cap) int { return limit.Total - c.SeatFloor(limit)*c.Seats }

// Seat is a long-term claim to an equal part of a region's floors.
type Seat struct {
	Holder string
	// Renewed is when the holder last confirmed the seat, in Unix seconds.
	Renewed int64
}

// Grant is a part of the pool of a service's cap.
type Grant struct {
	Holder  string
	Lease   uint64
	Service string
	// Amount is in requests.
	Amount int
}

// Ledger records how one region's caps are divided.
type Ledger struct {
	Seats  []Seat
	Grants []Grant
}

// DecodeLedger parses a stored ledger. Empty input is an empty ledger.
func DecodeLedger(b []byte) (Ledger, error) {
	var m pb.Ledger
	if err := proto.Unmarshal(b, &m); err != nil {
		return Ledger{}, fmt.Errorf("share: decode ledger: %w", err)
	}
	var l Ledger
	for _, s := range m.GetSeats() {
		l.Seats = append(l.Seats, Seat{s.GetHolder(), s.GetRenewed()})
	}
	for _, g := range m.GetGrants() {
		l.Grants = append(l.Grants, Grant{g.GetHolder(), g.GetLease(), g.GetService(), int(g.GetAmount())})
	}
	return l, nil
}

// Encode returns the ledger in its stored form, a protobuf message.
func (l Ledger) Encode() ([]byte, error) {
	m := new(pb.Ledger)
	for _, s := range l.Seats {
		m.Seats = append(m.Seats, &pb.Seat{Holder: s.Holder, Renewed: s.Renewed})
	}
	for _, g := range l.Grants {
		m.Grants = append(m.Grants, &pb.Grant{Holder: g.Holder, Lease: g.Lease, Service: g.Service, Amount: uint32(g.Amount)})
	}
	return proto.Marshal(m)
}

func (l Ledger) clone() Ledger {
	return Ledger{slices.Clone(l.Seats), slices.Clone(l.Grants)}
}

// TotalGranted returns the sum of a service's grants, in requests.
func (l Ledger) TotalGranted(service string) int {
	sum := 0
	for _, g := range l.Grants {
		if g.Service == service {
			sum += g.Amount
		}
	}
	return sum
}

// GrantAmount returns the amount that a holder has of a service's pool under a lease,
// or 0.
func (l Ledger) GrantAmount(holder string, lease uint64, service string) int {
	for _, g := range l.Grants {
		if g.Holder == holder && g.Lease == lease && g.Service == service {
			return g.Amount
		}
	}
	return 0
}

// HasSeat reports whether a holder has a seat.
func (l Ledger) HasSeat(holder string) bool {
	return slices.ContainsFunc(l.Seats, func(s Seat) bool { return s.Holder == holder })
}

// setGrant replaces the grant with the same holder, lease and service. An amount of 0
// removes it.
func (l *Ledger) setGrant(g Grant) {
	l.Grants = slices.DeleteFunc(l.Grants, func(o Grant) bool {
		return o.Holder == g.Holder && o.Lease == g.Lease && o.Service == g.Service
	})
	if g.Amount > 0 {
		l.Grants = append(l.Grants, g)
	}
	slices.SortFunc(l.Grants, func(a, b Grant) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Holder, b.Holder), cmp.Compare(a.Lease, b.Lease))
	})
}

// removeGrants removes all grants of a holder's lease.
func (l *Ledger) removeGrants(holder string, lease uint64) {
	l.Grants = slices.DeleteFunc(l.Grants, func(g Grant) bool { return g.Holder == holder && g.Lease == lease })
}
