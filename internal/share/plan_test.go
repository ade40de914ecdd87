package share

import (
	"testing"
	"time"
)

// TestGrantIsLoweredAfterTheLimit checks that a grant stays in the ledger as long as the
// entry enforces a limit that includes it. Another holder could otherwise be granted
// requests that the entry still sends.
func TestGrantIsLoweredAfterTheLimit(t *testing.T) {
	cfg := config("muscat", 40)
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
		next, _ := Plan(l, cfg, h, Demand{"stock": tt.usage})
		if got := next.GrantAmount("a", 1, "stock"); got != tt.grant {
			t.Errorf("usage %+v: planned grant %d, want %d", tt.usage, got, tt.grant)
		}
	}
}
