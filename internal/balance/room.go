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
