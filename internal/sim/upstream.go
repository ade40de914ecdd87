package sim

import (
	"container/list"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// arrivalWindow is the time over which an upstream measures its rate of arrivals.
const arrivalWindow = 4 * time.Second

// recordArrival records the arrival of a request, and drops the arrivals that are more than
// arrivalWindow ago.
func (u *upstream) recordArrival(now time.Time) {
	u.arrivals = append(u.arrivals, now)
	for now.Sub(u.arrivals[0]) > arrivalWindow {
		u.arrivals = u.arrivals[1:]
	}
}

// arrivalRate returns the requests per second that arrived during arrivalWindow.
func (u *upstream) arrivalRate() float64 { return float64(len(u.arrivals)) / arrivalWindow.Seconds() }

// upstream is one upstream of a service, with slots for requests, a queue and a cache of
// objects.
type upstream struct {
	id         string
	service    int
	domain     int
	slots      int
	queueLimit int
	cacheSize  int
	running    int
	queue      []*attempt
	// slowdown multiplies the service time, shedProbability is the part of the requests
	// that the upstream refuses although it has free slots.
	slowdown, shedProbability float64
	// rateLimit is the limit that the upstream reports, in requests per second, and
	// arrivals are the times of the arrivals during arrivalWindow.
	rateLimit float64
	arrivals  []time.Time
	// cached holds the elements of the cached objects in recency, the list of these objects
	// with the most recently used one first.
	cached  map[uint64]*list.Element
	recency *list.List
}

// newUpstream returns an idle upstream with an empty cache.
func newUpstream(id string, service, domain int, s Service) *upstream {
	return &upstream{
		id: id, service: service, domain: domain, slots: s.Slots, queueLimit: s.QueueLimit, cacheSize: s.CacheSize,
		slowdown: 1, rateLimit: ratelimit.Unlimited, cached: make(map[uint64]*list.Element), recency: list.New(),
	}
}

// hasCached reports whether an object is in the cache.
func (u *upstream) hasCached(object uint64) bool { return u.cached[object] != nil }

// touch marks an object as used, and adds it to the cache if necessary. A full cache evicts
// the least recently used object.
func (u *upstream) touch(object uint64) {
	if e := u.cached[object]; e != nil {
		u.recency.MoveToFront(e)
		return
	}
	u.cached[object] = u.recency.PushFront(object)
	if u.recency.Len() > u.cacheSize {
		last := u.recency.Back()
		delete(u.cached, last.Value.(uint64))
		u.recency.Remove(last)
	}
}

// load returns the number of requests that run or wait at the upstream.
func (u *upstream) load() int { return u.running + len(u.queue) }

// serviceTime returns how long this upstream takes for a request. uncachedTime is the time
// without the object in the cache and without slowdown.
func (u *upstream) serviceTime(c *Class, object uint64, uncachedTime time.Duration) time.Duration {
	t := float64(uncachedTime) * u.slowdown
	if u.hasCached(object) {
		t *= 1 - c.CacheGain
	}
	return time.Duration(t)
}
