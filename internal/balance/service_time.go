package balance

import "time"

const (
	// warmFor is how long after its last answer an upstream is taken to still
	// have an object at hand. Most still do for somewhat longer.
	warmTTL = 20 * time.Second
	// maxRemembered bounds how many objects are remembered for an upstream.
	maxWarmObjects = 512
	// workWeight is the weight of a new sample in the mean work.
	serviceTimeWeight = 0.1
	// bytesWeight is that of a new sample in the mean size. Sizes vary widely, and
	// the mean decides where objects are placed, so that it should move slowly.
	sizeWeight = 0.005
)

// times are the mean times that requests of one class take at an upstream
// without waiting there.
type classStats struct {
	// warm is that at an upstream which served the object not long ago, as far
	// as this entry knows.
	warm time.Duration
	// unknown is that at others, by their rank among the object's upstreams.
	unknown [replicas]time.Duration
	// bytes is the mean size of a request and its answer.
	meanBytes float64
}

// large reports whether the requests are large enough to keep them in their
// failure domain.
func (t *classStats) large() bool { return t.meanBytes >= largeBytes }

// huge reports whether the requests are so large that each failure domain should
// have a replica.
func (t *classStats) huge() bool { return t.meanBytes >= hugeBytes }

// work returns the shortest of the known means, 0 if there is none.
func (t *classStats) shortest() time.Duration {
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
func (b *Balancer) ServiceTime(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.classes[class]; t != nil {
		return t.shortest()
	}
	return 0
}

func (b *Balancer) classStats(class string) *classStats {
	t := b.classes[class]
	if t == nil {
		t = new(classStats)
		b.classes[class] = t
	}
	return t
}

// warmFor reports whether this entry had an answer about the object from the
// upstream not long ago.
func (u *upstreamState) isWarm(object uint64, now time.Time) bool {
	at, ok := u.lastServed[object]
	return ok && now.Sub(at) < warmTTL
}

// remember notes that an upstream has served an object.
func (u *upstreamState) markServed(object uint64, now time.Time) {
	if u.lastServed == nil {
		u.lastServed = make(map[uint64]time.Time)
	}
	if len(u.lastServed) >= maxWarmObjects {
		for o, at := range u.lastServed {
			if now.Sub(at) >= warmTTL {
				delete(u.lastServed, o)
			}
		}
	}
	if len(u.lastServed) < maxWarmObjects {
		u.lastServed[object] = now
	}
}

// learn takes in how long an answer took.
func (b *Balancer) recordServiceTime(u *upstreamState, now time.Time, c Choice, r DoneInfo) {
	if c.class == "" || r.Result != OK || r.ServerError {
		return
	}
	u.markServed(c.object, now)
	t := b.classStats(c.class)
	if t.meanBytes == 0 {
		t.meanBytes = float64(r.Bytes)
	}
	t.meanBytes += sizeWeight * (float64(r.Bytes) - t.meanBytes)
	took := now.Sub(c.PickedAt) - b.roundTrip[c.Region]
	if !c.immediate || r.Waiting > 0 || b.cold(u, now) || took <= 0 {
		return
	}
	into := &t.unknown[min(c.Rank, len(t.unknown)-1)]
	if c.Warm {
		into = &t.warm
	}
	updateMean(into, took)
	updateMean(&b.meanServiceTime, took)
}

// average moves a mean towards a new sample; the first one becomes the mean.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(serviceTimeWeight * float64(sample-*mean))
}
