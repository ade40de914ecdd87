package share

import (
	"testing"
	"time"
)

// TestGrantIsLoweredAfterTheLimit keeps a grant in the ledger as long as the
// entry keeps to a limit that counts on it.
func TestGrantIsLoweredAfterTheLimit(t *testing.T) {
	want := terms("muscat", 40)
	l := Ledger{Seats: []Seat{{"a", 1_800_000_000}}, Grants: []Grant{{"a", 1, "stock", 15}}}
	h := Holder{ID: "a", Local: true, Lease: 1, Reclaimable: func(Grant) bool { return false }, Now: time.Unix(1_800_000_000, 0)}
	for _, tt := range []struct {
		usage Usage
		grant int
	}{
		{Usage{InFlight: 1, Limit: 19}, 15},
		{Usage{InFlight: 1, Limit: 6}, 2},
		{Usage{InFlight: 12, Limit: 6}, 12},
		{Usage{}, 0},
	} {
		next, _ := Plan(l, want, h, Demand{"stock": tt.usage})
		if got := next.GrantAmount("a", 1, "stock"); got != tt.grant {
			t.Errorf("%+v: the ledger grants %d, want %d", tt.usage, got, tt.grant)
		}
	}
}
