package node

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/view"
)

// TestLapsedRecordsExpireAfterSuspension suspends a machine after an upstream's record has
// lapsed in an outage of the store. The grace period for the record runs by the boot clock;
// the monotonic clock stops during the suspension, and by it the record would be retained
// too long.
func TestLapsedRecordsExpireAfterSuspension(t *testing.T) {
	const grace = 2 * time.Second
	start := time.Now()
	var suspended time.Duration
	clock := bootclock.NewClockFrom(start, func() time.Duration { return 0 }, func() time.Duration { return suspended })
	self := Self("n1", "muscat", "mus-a", "10.0.0.1:80", "10.0.0.1:7200", start)
	n := New(view.Options{Self: self, Regions: map[string]string{"mus-a": "muscat"}, ReregistrationGrace: grace},
		forward.Options{Self: "n1", Domain: "mus-a", MaxInFlight: 10, Now: clock.Now, SyncNow: clock.SyncNow})
	n.Apply(func(v *view.View, now time.Time) {
		v.PutUpstream(model.Upstream{ID: "u1", Service: "s", Region: "muscat", Domain: "mus-a", Address: "10.0.0.9:80", Slots: 1})
		v.MarkStoreUnreachable()
		v.MarkStoreReached(now)
		v.RemoveUpstream("u1", now)
	})
	n.expireLapsed()
	if got := n.view.Retained(); len(got) != 1 {
		t.Fatalf("retained %v, want u1", got)
	}
	suspended = 2 * grace
	n.expireLapsed()
	if got := n.view.Retained(); len(got) != 0 {
		t.Errorf("retained %v after the suspension, want none", got)
	}
	if now := n.ReportOptions(self).Now(); now.Sub(clock.Now()) != 0 || now.Sub(start) < suspended {
		t.Errorf("time of reports is %v, want that of the corrected clock", now)
	}
}
