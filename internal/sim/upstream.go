package sim

import (
	"container/list"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// arrivalsOver is the time over which an upstream counts what it gets.
const arrivalsOver = 4 * time.Second

// arrive counts a request.
func (u *upstream) arrive(now time.Time) {
	u.arrived = append(u.arrived, now)
	for now.Sub(u.arrived[0]) > arrivalsOver {
		u.arrived = u.arrived[1:]
	}
}

// rate is how many requests a second the upstream gets.
func (u *upstream) rate() float64 { return float64(len(u.arrived)) / arrivalsOver.Seconds() }

// upstream is one upstream of a service.
type upstream struct {
	id      string
	service int
	domain  int
	slots   int
	limit   int
	memory  int
	running int
	queue   []*attempt
	// slow multiplies the work, sheds is the part of the requests that it refuses.
	slow, sheds float64
	// perSecond is the limit that it names, and arrived are when the last requests came.
	perSecond float64
	arrived   []time.Time
	// warm holds the objects at hand, used those used last first.
	warm map[uint64]*list.Element
	used *list.List
}

func newUpstream(id string, service, domain int, s Service) *upstream {
	return &upstream{
		id: id, service: service, domain: domain, slots: s.Slots, limit: s.QueueLimit, memory: s.CacheSize,
		slow: 1, perSecond: ratelimit.Unlimited, warm: make(map[uint64]*list.Element), used: list.New(),
	}
}

// has reports whether an object is at hand.
func (u *upstream) has(object uint64) bool { return u.warm[object] != nil }

// touch puts an object at hand, in the place of the one used longest ago.
func (u *upstream) touch(object uint64) {
	if e := u.warm[object]; e != nil {
		u.used.MoveToFront(e)
		return
	}
	u.warm[object] = u.used.PushFront(object)
	if u.used.Len() > u.memory {
		last := u.used.Back()
		delete(u.warm, last.Value.(uint64))
		u.used.Remove(last)
	}
}

// load is the requests running and waiting.
func (u *upstream) load() int { return u.running + len(u.queue) }

// work is how long a request takes here that needs a time without its object at hand.
func (u *upstream) work(c *Class, object uint64, cold time.Duration) time.Duration {
	t := float64(cold) * u.slow
	if u.has(object) {
		t *= 1 - c.CacheGain
	}
	return time.Duration(t)
}
