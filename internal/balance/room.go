package balance

import "time"

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
