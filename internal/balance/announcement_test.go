package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// finish ends the request of a Choice with an answer.
func (b *Balancer) finish(now time.Time, c Choice, a Announcement, r DoneInfo) Result {
	r.Observation = b.Observe(now, c, a)
	return b.Done(now, c, r)
}

// observeLimitOf applies an answer that states only a limit.
func (b *Balancer) observeLimitOf(now time.Time, c Choice, r RateLimit) bool {
	a := NoAnnouncement()
	a.Limit = r
	return b.Observe(now, c, a).LimitChanged
}

// draining is the Announcement of an upstream that drains.
var draining = Announcement{Load: -1, Waiting: -1, Draining: true}

// routedService returns a service with routes and a number of upstreams in one region.
func routedService(upstreams int) *model.Service {
	s := serviceWith(upstreams, 4, "muscat")
	s.Routed = true
	return s
}

// TestAnnouncedDrainOutlivesItsEntry has the entry of a draining upstream disappear and come back, as
// after an outage of the store. The drain must hold, also long after, but not for a new incarnation.
func TestAnnouncedDrainOutlivesItsEntry(t *testing.T) {
	s := routedService(2)
	s.Upstreams[0].StartedAt, s.Upstreams[1].StartedAt = 1, 1
	lb := balancerAt(s, nil, model.Member{ID: "e1", Region: "muscat"})
	c := pickObject(t, lb, t0, 1)
	lb.finish(t0, c, draining, DoneInfo{})
	without := *s
	without.Upstreams = nil
	for _, u := range s.Upstreams {
		if u.ID != c.ID {
			without.Upstreams = append(without.Upstreams, u)
		}
	}
	state := ServiceState{Service: &without, Draining: notDraining, Region: "muscat"}
	lb.Update(state, t0.Add(time.Second))
	state.Service = s
	lb.Update(state, t0.Add(retention))
	for i := range 20 {
		again := pickObject(t, lb, t0.Add(2*sharedIDDrainTTL+time.Hour), i)
		if again.ID == c.ID {
			t.Fatalf("%s was picked though it drains", c.ID)
		}
		lb.Done(t0, again, DoneInfo{Result: Abandoned})
	}
	restarted := *s
	restarted.Upstreams = append([]model.Upstream(nil), s.Upstreams...)
	for i := range restarted.Upstreams {
		restarted.Upstreams[i].StartedAt = 2
	}
	state.Service = &restarted
	lb.Update(state, t0.Add(retention))
	if got := lb.SelfDraining(t0.Add(retention)); len(got) != 0 {
		t.Errorf("new incarnations drain: %v", got)
	}
}

// TestDrainingUpstreamServesIfThereIsNoOther has all upstreams drain: for drainGrace they serve rather
// than that requests are refused, and with another upstream none of them gets a request.
func TestDrainingUpstreamServesIfThereIsNoOther(t *testing.T) {
	for _, others := range []int{0, 1} {
		t.Run(fmt.Sprint(others, " others"), func(t *testing.T) {
			s := routedService(2 + others)
			lb := balancerAt(s, nil, model.Member{ID: "e1", Region: "muscat"})
			for i := range 2 {
				u := lb.byID[s.Upstreams[i].ID]
				lb.Observe(t0, Choice{Upstream: u.Upstream, state: u}, draining)
			}
			for i := range 10 {
				c, err := lb.PickObject(t0.Add(drainGrace-1), ObjectRequest{Object: uint64(i), Class: "c"})
				if err != nil || others > 0 && c.ID != s.Upstreams[2].ID {
					t.Errorf("within drainGrace: picked %q, %v", c.ID, err)
				}
			}
			_, err := lb.PickObject(t0.Add(drainGrace), ObjectRequest{Object: 1, Class: "c"})
			if others == 0 && !errors.Is(err, ErrNoUpstream) || others > 0 && err != nil {
				t.Errorf("after drainGrace: %v", err)
			}
		})
	}
}

// TestAnnouncedDrainLowersTheShareOfItsRegion has all but one upstream of a region drain: most
// requests of that region must then go to the other one.
func TestAnnouncedDrainLowersTheShareOfItsRegion(t *testing.T) {
	s, entries := twoRegionService(4, 4)
	s.Routed = true
	lb := balancerAt(s, entries, entries[0])
	region := entries[0].Region
	left := 0
	for _, u := range s.Upstreams {
		if u.Region != region {
			continue
		}
		if left++; left > 1 {
			state := lb.byID[u.ID]
			lb.Observe(t0, Choice{Upstream: state.Upstream, state: state}, draining)
		}
	}
	away := 0
	for i := range 100 {
		c := pickObject(t, lb, t0, i)
		if c.Region != region {
			away++
		}
		lb.Done(t0, c, DoneInfo{Result: Abandoned})
	}
	if away < 30 {
		t.Errorf("%d of 100 requests left the region, of which one upstream in four takes requests", away)
	}
}

// backoffOf returns the Announcement of an upstream that wants no requests for a time.
func backoffOf(d time.Duration) Announcement {
	return Announcement{Load: 0, Waiting: 0, Backoff: d}
}

// TestBackoffLastsUntilItsLatestEnd has later answers ask for less: the backoff must last until the
// end that the first one asked for, and then one request at a time may go until one is served.
func TestBackoffLastsUntilItsLatestEnd(t *testing.T) {
	const asked = 3 * time.Second
	s := routedService(1)
	lb := balancerAt(s, nil, model.Member{ID: "e1", Region: "muscat"})
	first, second, third := pickObject(t, lb, t0, 1), pickObject(t, lb, t0, 1), pickObject(t, lb, t0, 1)
	lb.finish(t0, first, backoffOf(asked), DoneInfo{Result: Shed})
	lb.finish(t0.Add(time.Millisecond), second, backoffOf(time.Second), DoneInfo{Result: Shed})
	lb.finish(t0.Add(time.Second), third, Announcement{}, DoneInfo{Result: OK})
	req := ObjectRequest{Object: 1, Class: "r", Objective: time.Second}
	var backoff *BackoffError
	if _, err := lb.PickObject(t0.Add(asked-1), req); !errors.As(err, &backoff) || backoff.RetryAfter < 1 || backoff.RetryAfter > 1+maxBackoffSpread {
		t.Fatalf("before its end: %v", err)
	}
	end := t0.Add(asked + maxBackoffSpread)
	probe := pickObject(t, lb, end, 1)
	if _, err := lb.PickObject(end, req); !errors.Is(err, ErrNoSlot) {
		t.Errorf("second request after the backoff: %v, want ErrNoSlot", err)
	}
	lb.finish(end.Add(time.Millisecond), probe, Announcement{}, DoneInfo{Result: OK})
	pickObject(t, lb, end.Add(time.Millisecond), 1)
	pickObject(t, lb, end.Add(time.Millisecond), 1)
}

// TestBackoffOfALongTimeIsBounded asks for a thousand years.
func TestBackoffOfALongTimeIsBounded(t *testing.T) {
	lb := balancerAt(routedService(1), nil, model.Member{ID: "e1", Region: "muscat"})
	lb.finish(t0, pickObject(t, lb, t0, 1), backoffOf(1e9*time.Second), DoneInfo{Result: Shed})
	if _, err := lb.PickObject(t0.Add(maxBackoff-1), ObjectRequest{Object: 1, Class: "r"}); err == nil {
		t.Error("picked during a backoff")
	}
	pickObject(t, lb, t0.Add(maxBackoff+maxBackoffSpread), 1)
}

// TestBackoffsEndAtDifferentTimes has an upstream ask eight entries for the same backoff at once: they
// must not all return within a tenth of a second.
func TestBackoffsEndAtDifferentTimes(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for i := range 8 {
		lb := balancerAt(routedService(1), nil, model.Member{ID: fmt.Sprint("e", i), Region: "muscat"})
		lb.finish(t0, pickObject(t, lb, t0, 1), backoffOf(3*time.Second), DoneInfo{Result: Shed})
		left := lb.UntilAccepted(t0, nil)
		first, last = min(first, left), max(last, left)
	}
	if first < 3*time.Second || last > 3*time.Second+maxBackoffSpread || last-first < 100*time.Millisecond {
		t.Errorf("backoffs of 3 s end from %v to %v", first, last)
	}
}

// TestUpstreamThatTurnsAllEntriesAwayIsAvoided has peers report that an upstream has asked them for a
// backoff. An entry that it has not asked itself must prefer other upstreams as long as more entries
// back off than have requests there, and return at the end.
func TestUpstreamThatTurnsAllEntriesAwayIsAvoided(t *testing.T) {
	s, entries := twoRegionService(3, 8)
	lb := balancerAt(s, entries, entries[0])
	first := pickAndAnswer(t, lb, t0, 1, 0)
	report := func(backingOff, requests int) {
		lb.ApplyPeerLoad(t0, PeerLoad{Peer: "p", Last: ^uint32(0), Loads: map[uint32]Load{
			IncarnationKey(&first.Upstream): {Requests: requests, BackingOff: backingOff},
		}})
	}
	for _, tt := range []struct {
		backingOff, requests int
		avoided              bool
	}{{1, 0, false}, {2, 3, false}, {3, 1, true}, {0, 1, false}} {
		report(tt.backingOff, tt.requests)
		c := pickObject(t, lb, t0, 1)
		if (c.ID != first.ID) != tt.avoided {
			t.Errorf("%+v: picked %s, first was %s", tt, c.ID, first.ID)
		}
		lb.Done(t0, c, DoneInfo{Result: Abandoned})
	}
}

// TestPeersReportDrains has a peer report that an upstream drains, which the entry must pass on
// until the upstream's own entry says so.
func TestPeersReportDrains(t *testing.T) {
	s := routedService(2)
	lb := balancerAt(s, nil, model.Member{ID: "e1", Region: "muscat"})
	u := &s.Upstreams[0]
	lb.ApplyPeerLoad(t0, PeerLoad{Peer: "p", Last: ^uint32(0), Loads: map[uint32]Load{IncarnationKey(u): {Draining: true}}})
	shared := func() (n int) {
		lb.VisitLoads(t0, EntryFilter{}, func(_ uint32, l Load) {
			if l.Draining {
				n++
			}
		})
		return n
	}
	if n := shared(); n != 1 {
		t.Errorf("%d drains are reported to others, want 1", n)
	}
	for i := range 10 {
		c := pickObject(t, lb, t0, i)
		if c.ID == u.ID {
			t.Errorf("%s was picked though a peer reports that it drains", u.ID)
		}
		lb.Done(t0, c, DoneInfo{Result: Abandoned})
	}
	left := *s
	left.Upstreams = append([]model.Upstream(nil), s.Upstreams...)
	left.Upstreams[0].Leaving = true
	lb.Update(ServiceState{Service: &left, Draining: notDraining, Region: "muscat"}, t0)
	if n := shared(); n != 0 {
		t.Errorf("%d drains are reported to others though their entries say so", n)
	}
}

// TestTrialsOfRecoveryNeedARetry picks with NoTrial for an object whose upstream has not served since its
// backoff: another upstream must get the request.
func TestTrialsOfRecoveryNeedARetry(t *testing.T) {
	lb := balancerAt(routedService(3), nil, model.Member{ID: "e1", Region: "muscat"})
	first := pickObject(t, lb, t0, 1)
	lb.finish(t0, first, backoffOf(time.Second), DoneInfo{Result: Shed})
	after := t0.Add(time.Second + maxBackoffSpread)
	late, err := lb.PickObject(after.Add(maxRecovery), ObjectRequest{Object: HashObject("r", "1"), Class: "r", Objective: time.Second, NoTrial: true})
	if err != nil || late.ID != first.ID {
		t.Errorf("after maxRecovery: picked %s, %v", late.ID, err)
	}
	lb.Done(after, late, DoneInfo{Result: Abandoned})
	for _, noTrial := range []bool{true, false} {
		c, err := lb.PickObject(after, ObjectRequest{Object: HashObject("r", "1"), Class: "r", Objective: time.Second, NoTrial: noTrial})
		if err != nil || (c.ID == first.ID) == noTrial {
			t.Errorf("NoTrial %v: picked %s, %v", noTrial, c.ID, err)
		}
		lb.Done(after, c, DoneInfo{Result: Abandoned})
	}
}
