package node

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/view"
)

// TestSuspensionAgesWhatIsKnown suspends a machine: entries that lapsed while the service
// was away are forgotten by the boot clock, not by the steady one, which missed the time.
func TestSuspensionAgesWhatIsKnown(t *testing.T) {
	const rejoin = 2 * time.Second
	start := time.Now()
	var slept time.Duration
	clock := bootclock.NewClockFrom(start, func() time.Duration { return 0 }, func() time.Duration { return slept })
	self := Self("n1", "muscat", "mus-a", "10.0.0.1:80", "10.0.0.1:7200", start)
	n := New(view.Options{Self: self, Regions: map[string]string{"mus-a": "muscat"}, ReregistrationGrace: rejoin},
		forward.Options{Self: "n1", Domain: "mus-a", MaxInFlight: 10, Now: clock.Now, SyncNow: clock.SyncNow})
	n.Apply(func(v *view.View, now time.Time) {
		v.PutUpstream(model.Upstream{ID: "u1", Service: "s", Region: "muscat", Domain: "mus-a", Address: "10.0.0.9:80", Slots: 1})
		v.MarkStoreUnreachable()
		v.MarkStoreReached(now)
		v.RemoveUpstream("u1", now)
	})
	n.dropLapsed()
	if got := n.view.Retained(); len(got) != 1 {
		t.Fatalf("kept %v, want u1", got)
	}
	slept = 2 * rejoin
	n.dropLapsed()
	if got := n.view.Retained(); len(got) != 0 {
		t.Errorf("kept %v after the suspension", got)
	}
	if now := n.Reports(self).Now(); now.Sub(clock.Now()) != 0 || now.Sub(start) < slept {
		t.Errorf("reports go by %v", now)
	}
}
