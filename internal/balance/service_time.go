package balance

import "time"

const (
	// warmTTL is how long after serving an object an upstream is expected to still have it cached.
	// Most upstreams keep objects somewhat longer.
	warmTTL = 20 * time.Second
	// maxWarmObjects is the largest number of objects that are tracked per upstream.
	maxWarmObjects = 512
	// serviceTimeWeight is the weight of a new sample in the moving average of service times.
	serviceTimeWeight = 0.1
	// sizeWeight is the weight of a new sample in the moving average of sizes. Sizes vary widely
	// and the average determines where objects are placed, so it must change slowly.
	sizeWeight = 0.005
)

// classStats holds the mean service times, without waiting, and the mean size of the requests of
// one class.
type classStats struct {
	// warm is the mean service time at upstreams that have recently served the object for this
	// entry.
	warm time.Duration
	// unknown holds the mean service time at other upstreams, by their rank among the object's
	// replicas.
	unknown [replicas]time.Duration
	// meanBytes is the mean size of a request and its answer together.
	meanBytes float64
}

// large reports whether requests of the class are large enough to be kept in their failure domain.
func (t *classStats) large() bool { return t.meanBytes >= largeBytes }

// huge reports whether requests of the class are so large that each failure domain should have a
// replica.
func (t *classStats) huge() bool { return t.meanBytes >= hugeBytes }

// shortest returns the shortest of the measured mean service times, 0 if there is none.
func (t *classStats) shortest() time.Duration {
	least := t.warm
	for _, known := range t.unknown {
		if least == 0 || known > 0 && known < least {
			least = known
		}
	}
	return least
}

// ServiceTime returns the shortest mean service time of a class of requests, without waiting for a
// slot; 0 if none has been measured.
func (b *Balancer) ServiceTime(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.classes[class]; t != nil {
		return t.shortest()
	}
	return 0
}

// classStats returns the statistics of a class, which it creates if needed.
func (b *Balancer) classStats(class string) *classStats {
	t := b.classes[class]
	if t == nil {
		t = new(classStats)
		b.classes[class] = t
	}
	return t
}

// isWarm reports whether the upstream has served the object for this entry within warmTTL.
func (u *upstreamState) isWarm(object uint64, now time.Time) bool {
	at, ok := u.lastServed[object]
	return ok && now.Sub(at) < warmTTL
}

// markServed records that the upstream has served an object, unless maxWarmObjects others are
// still warm.
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

// recordServiceTime updates the statistics of a class with a successful answer. Durations that
// include waiting, or that come from cold upstreams, do not count as service times.
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
	took := now.Sub(c.SendAt) - b.roundTrip[c.Region]
	if !c.immediate || r.Observation.Queued || b.cold(u, now) || took <= 0 {
		return
	}
	mean := &t.unknown[min(c.Rank, len(t.unknown)-1)]
	if c.Warm {
		mean = &t.warm
	}
	if *mean > 0 {
		u.recordRelativeTime(float64(took) / float64(*mean))
	}
	updateMean(mean, took)
	updateMean(&b.meanServiceTime, took)
	b.measuredWork += took
	b.measuredRequests++
}

// updateMean moves a mean towards a new sample; the first sample becomes the mean.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(serviceTimeWeight * float64(sample-*mean))
}
