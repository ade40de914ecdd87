package balance

import "time"

const (
	// warmFor is how long after its last answer an upstream is taken to still
	// have an object at hand. Most still do for somewhat longer.
	warmFor = 20 * time.Second
	// maxRemembered bounds how many objects are remembered for an upstream.
	maxRemembered = 512
	// workWeight is the weight of a new sample in the mean work.
	workWeight = 0.1
	// bytesWeight is that of a new sample in the mean size. Sizes vary widely, and
	// the mean decides where objects are placed, so that it should move slowly.
	bytesWeight = 0.005
)

// times are the mean times that requests of one class take at an upstream
// without waiting there.
type times struct {
	// warm is that at an upstream which served the object not long ago, as far
	// as this entry knows.
	warm time.Duration
	// unknown is that at others, by their rank among the object's upstreams.
	unknown [replicas]time.Duration
	// bytes is the mean size of a request and its answer.
	bytes float64
}

// large reports whether the requests are large enough to keep them in their
// failure domain.
func (t *times) large() bool { return t.bytes >= largeBytes }

// huge reports whether the requests are so large that each failure domain should
// have a replica.
func (t *times) huge() bool { return t.bytes >= hugeBytes }

// work returns the shortest of the known means, 0 if there is none.
func (t *times) work() time.Duration {
	least := t.warm
	for _, known := range t.unknown {
		if least == 0 || known > 0 && known < least {
			least = known
		}
	}
	return least
}

// ServiceTime returns how long requests of a class take at best at an upstream, without waiting
// there; 0 until answers have told.
func (g *Balancer) ServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.byClass[class]; t != nil {
		return t.work()
	}
	return 0
}

func (g *Balancer) times(class string) *times {
	t := g.byClass[class]
	if t == nil {
		t = new(times)
		g.byClass[class] = t
	}
	return t
}

// warmFor reports whether this entry had an answer about the object from the
// upstream not long ago.
func (m *member) warmFor(object uint64, now time.Time) bool {
	at, ok := m.served[object]
	return ok && now.Sub(at) < warmFor
}

// remember notes that an upstream has served an object.
func (m *member) remember(object uint64, now time.Time) {
	if m.served == nil {
		m.served = make(map[uint64]time.Time)
	}
	if len(m.served) >= maxRemembered {
		for o, at := range m.served {
			if now.Sub(at) >= warmFor {
				delete(m.served, o)
			}
		}
	}
	if len(m.served) < maxRemembered {
		m.served[object] = now
	}
}

// learn takes in how long an answer took.
func (g *Balancer) learn(m *member, now time.Time, c Choice, r DoneInfo) {
	if c.class == "" || r.Result != OK || r.ServerError {
		return
	}
	m.remember(c.object, now)
	t := g.times(c.class)
	if t.bytes == 0 {
		t.bytes = float64(r.Bytes)
	}
	t.bytes += bytesWeight * (float64(r.Bytes) - t.bytes)
	took := now.Sub(c.PickedAt) - g.roundTrip[c.Region]
	if !c.unqueued || r.Waiting > 0 || g.cold(m, now) || took <= 0 {
		return
	}
	into := &t.unknown[min(c.Rank, len(t.unknown)-1)]
	if c.Warm {
		into = &t.warm
	}
	average(into, took)
	average(&g.meanWork, took)
}

// average moves a mean towards a new sample; the first one becomes the mean.
func average(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(workWeight * float64(sample-*mean))
}
