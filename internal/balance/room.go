package balance

import (
	"math"
	"time"
)

// Room is the capacity of a service's upstreams in all regions, and its use.
type Room struct {
	// Slots is the number of requests that the upstreams run at one time. Draining upstreams do not
	// count.
	Slots float64
	// Busy is the estimated number of requests at these upstreams, running and waiting, of all entries.
	Busy float64
	// Work is the mean time for which a request holds a slot; 0 before the first answer.
	Work time.Duration
}

// Room returns the room of the service as this entry knows it.
func (b *Balancer) Room(now time.Time) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(now)
}

// room returns the result of Room. b.mu must be held.
func (b *Balancer) room(now time.Time) Room {
	r := Room{Work: b.meanServiceTime}
	for _, u := range b.upstreams {
		if b.isDraining(u, now) {
			continue
		}
		r.Slots += float64(max(u.Slots, 1))
		r.Busy += b.outstanding(u, now)
	}
	return r
}

const (
	// fullFor is the time for which a service counts as full after it was, since requests come in clumps.
	fullFor = time.Second
	// roomAgePerUpstream is the time for which a measurement of the room is used again, for each
	// upstream: with thousands of them it takes as long as a pick.
	roomAgePerUpstream = 50 * time.Microsecond
)

// Full reports whether there are as many requests at the upstreams as they have slots, so that it
// matters who waits where, or were within the last second.
func (b *Balancer) Full(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if room := b.recentRoom(now); room.Slots > 0 && room.Busy >= room.Slots {
		b.fullUntil = now.Add(fullFor)
	}
	return now.Before(b.fullUntil)
}

// recentRoom returns the result of Room, or an earlier one while it is recent enough.
func (b *Balancer) recentRoom(now time.Time) Room {
	maxAge := time.Duration(len(b.upstreams)) * roomAgePerUpstream
	if age := now.Sub(b.lastRoomAt); age < 0 || age >= maxAge {
		b.lastRoom, b.lastRoomAt = b.room(now), now
	}
	return b.lastRoom
}

const (
	// pressureThreshold is the share of a region's slots in use from which all entries need to know
	// the demand for the service: it leaves time to act before the region is full.
	pressureThreshold = 0.5
	// pressedFor is the time for which the demand is reported after the last pressure.
	pressedFor = 5 * time.Second
)

// Pressed reports whether the slots of a region's upstreams are or were recently so much in use that
// the demand for the service matters to decisions.
func (b *Balancer) Pressed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.routed {
		return false
	}
	for region := range b.byRegion {
		slots, busy := b.regionUse(region, now)
		if slots > 0 && busy >= pressureThreshold*slots {
			b.pressedUntil = now.Add(pressedFor)
		}
	}
	return now.Before(b.pressedUntil)
}

// regionUse returns the slots of the upstreams of a region that do not drain, and the estimated
// requests there.
func (b *Balancer) regionUse(region string, now time.Time) (slots, busy float64) {
	for _, u := range b.byRegion[region] {
		if !b.isDraining(u, now) {
			slots += float64(max(u.Slots, 1))
			busy += b.outstanding(u, now)
		}
	}
	return slots, busy
}

// TakeWork returns the time for which requests held slots, and the number of these requests, since the
// last call.
func (b *Balancer) TakeWork() (busy time.Duration, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	busy, requests = b.measuredWork, b.measuredRequests
	b.measuredWork, b.measuredRequests = 0, 0
	return busy, requests
}

// currentCapacity returns the slots of each region's upstreams that can be used now: fewer at upstreams
// that are slow, cold or limited, none at those that drain, back off, are ejected or do not answer.
// work is the mean service time in seconds. If most upstreams seem to fail, this entry is more likely
// the one that is cut off, and failures are not counted.
func (b *Balancer) currentCapacity(now time.Time, work float64) map[string]float64 {
	failing := 0
	for _, u := range b.upstreams {
		if b.seemsDown(u, now) {
			failing++
		}
	}
	trusted := float64(failing) <= maxEjectionShare*float64(len(b.upstreams))
	capacity := make(map[string]float64)
	for _, u := range b.upstreams {
		switch {
		case b.isDraining(u, now) || u.backingOff(now) || trusted && b.seemsDown(u, now):
			capacity[u.Region] += 0
		default:
			capacity[u.Region] += b.currentSlots(u, now, work)
		}
	}
	return capacity
}

// seemsDown reports whether this entry gets no useful answers from an upstream.
func (b *Balancer) seemsDown(u *upstreamState, now time.Time) bool {
	return u.ejected(now) || u.isOutlier(now) || b.unresponsive(u, now)
}

// currentSlots returns the slots of an upstream times its speed, but no more than its limit and, while
// it is cold, the limit on requests to it can keep busy.
func (b *Balancer) currentSlots(u *upstreamState, now time.Time, work float64) float64 {
	slots := float64(max(u.Slots, 1)) * u.speed(now)
	if u.bucket != nil {
		slots = math.Min(slots, u.limit.PerSecond()*work)
	}
	if b.coldRate > 0 && b.cold(u, now) {
		slots = math.Min(slots, b.coldRate*work)
	}
	return slots
}
