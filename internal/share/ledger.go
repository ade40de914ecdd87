// Package share divides the caps of a region among the instances that use them.
//
// A cap limits the requests in flight of a service at a region's upstreams. A
// part of it, the floor, is divided evenly among the seats of the region: a seat
// is taken once, is held while the key-value service is away, and is given to
// another only a day after its holder was last heard of. The rest is a pool,
// from which instances of all regions take grants by demand; a grant holds as
// long as its holder's lease.
//
// The sum of what may be used never passes the cap, because
//
//   - floors and the pool together are the cap, and the number of seats is fixed;
//   - the ledger of a region is one value, changed by compare-and-swap, and no
//     change makes its grants pass the pool;
//   - a holder uses its grant only while its own clock, read at each use, is
//     short of the lease by a margin, also after a pause;
//   - a grant is struck out by others only after its lease was seen to have
//     lapsed for as long as a request begun under it may take;
//   - a holder that gives back a part lowers its limit first, and the ledger when
//     its requests in flight have fallen to it.
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
	// Total is the limit itself.
	Total int
}

// CapConfig are the caps of a region and how they are divided.
type CapConfig struct {
	Region string
	Caps   []Cap
	// Floor is the share of each cap that is divided among the seats.
	Floor float64
	// Seats is the number of seats.
	Seats int
}

// seated returns the terms with no fewer seats than are taken, so that lowering
// their number does not raise the floors of those who sit.
func (t CapConfig) seated(l Ledger) CapConfig {
	t.Seats = max(t.Seats, len(l.Seats))
	return t
}

// SeatFloor returns what each seat has of a cap for good.
func (t CapConfig) SeatFloor(c Cap) int { return int(t.Floor*float64(c.Total)) / max(t.Seats, 1) }

// Pool returns what is left of a cap to be granted.
func (t CapConfig) Pool(c Cap) int { return c.Total - t.SeatFloor(c)*t.Seats }

// Seat is a permanent part of a region's caps.
type Seat struct {
	Holder string
	// Renewed is when the holder last confirmed the seat, in Unix seconds.
	Renewed int64
}

// Grant is a part of a cap's pool.
type Grant struct {
	Holder  string
	Lease   uint64
	Service string
	Amount  int
}

// Ledger is the division of one region's caps.
type Ledger struct {
	Seats  []Seat
	Grants []Grant
}

// DecodeLedger reads a stored ledger; no bytes are an empty one.
func DecodeLedger(b []byte) (Ledger, error) {
	var m pb.Ledger
	if err := proto.Unmarshal(b, &m); err != nil {
		return Ledger{}, fmt.Errorf("share: ledger: %w", err)
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

// Encode returns the stored form.
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

// TotalGranted returns the sum of a service's grants.
func (l Ledger) TotalGranted(service string) int {
	sum := 0
	for _, g := range l.Grants {
		if g.Service == service {
			sum += g.Amount
		}
	}
	return sum
}

// GrantAmount returns what a holder has under a lease.
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

// setGrant replaces what a holder has under a lease; 0 strikes it out.
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

// strike removes the grants of a holder's lease.
func (l *Ledger) strike(holder string, lease uint64) {
	l.Grants = slices.DeleteFunc(l.Grants, func(g Grant) bool { return g.Holder == holder && g.Lease == lease })
}
