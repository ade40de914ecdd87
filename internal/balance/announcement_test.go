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
