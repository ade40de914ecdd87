package balance

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// stateStartedAt returns the state of a service with one upstream that started at startedAt.
func stateStartedAt(startedAt int64) ServiceState {
	return ServiceState{
		Service:  &model.Service{Warmup: 3 * time.Second, Upstreams: []model.Upstream{{ID: "u1", Region: "m", Domain: "m1", Address: "10.0.0.1:80", Slots: 4, StartedAt: startedAt}}},
		Draining: func(*model.Upstream, time.Time) bool { return false },
		Self:     "e1", Region: "m", Domain: "m1",
		Entries: []model.Member{{ID: "e1", Region: "m", Domain: "m1"}},
	}
}

// TestRestartUnderTheSameID has an upstream with failures, a drain announcement and requests in
// flight restart under its ID: nothing of its earlier incarnation counts.
func TestRestartUnderTheSameID(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	lb := NewBalancer()
	lb.Update(stateStartedAt(1000), now)
	req := ObjectRequest{Object: 7, Class: "c", Objective: time.Second}
	warmed, err := lb.PickObject(now, req)
	if err != nil {
		t.Fatal(err)
	}
	lb.finish(now.Add(time.Second), warmed, Announcement{Load: -1, Draining: true}, DoneInfo{Result: OK})
	lb.Update(stateStartedAt(1000), now)
	if _, err := lb.PickObject(now.Add(time.Second+drainGrace), req); err == nil {
		t.Fatal("an upstream that announced that it drains was picked")
	}
	earlier := lb.byID["u1"]
	pending := Choice{Upstream: earlier.Upstream, state: earlier, class: "c", object: 7, SendAt: now}
	earlier.inFlight, lb.inFlight["m"] = 1, 1
	for range 5 {
		earlier.recordOutcome(now, true)
	}
	earlier.peerRequests.set("e2", 3)

	now = now.Add(2 * time.Second)
	if got := lb.Update(stateStartedAt(2000), now); len(got) != 1 || got[0] != "10.0.0.1:80" {
		t.Errorf("restarted: %v", got)
	}
	c, err := lb.PickObject(now, req)
	if err != nil {
		t.Fatalf("the new incarnation was not picked: %v", err)
	}
	if c.Warm || c.Outstanding != 0 {
		t.Errorf("picked with warm = %v, outstanding = %v; want false and 0 for a new incarnation", c.Warm, c.Outstanding)
	}
	// The request to the earlier incarnation fails, and a peer still reports failures of that
	// incarnation.
	lb.Done(now, pending, DoneInfo{Result: Unreachable})
	lb.ApplyPeerLoad(now, PeerLoad{Peer: "e2", Last: ^uint32(0), Loads: map[uint32]Load{
		earlier.incarnationKey: {Requests: 9, Outcomes: Outcomes{Failed: 9, Total: 9}},
	}})
	u := lb.byID["u1"]
	if u.inFlight != 1 || u.peerRequests.total != 0 || u.ejected(now) || u.isOutlier(now) || lb.inFlight["m"] != 1 {
		t.Errorf("new incarnation: %d own requests, %d of peers, ejected %v, outlier %v; %d in the region",
			u.inFlight, u.peerRequests.total, u.ejected(now), u.isOutlier(now), lb.inFlight["m"])
	}
	if !lb.cold(u, now) {
		t.Error("the new incarnation is not cold")
	}
}

// TestRestartWithoutStartTime checks that an upstream does not count as restarted if the earlier or
// the new start time is missing.
func TestRestartWithoutStartTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	lb := NewBalancer()
	for _, startedAt := range []int64{1000, 0, 2000} {
		if got := lb.Update(stateStartedAt(startedAt), now); got != nil {
			t.Errorf("startedAt %d: restarted %v", startedAt, got)
		}
	}
}
