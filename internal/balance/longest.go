package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// longest returns the longest time that a further run is expected to take; 0 if no run is known. It is the
// usual estimate of a maximum from n samples: the largest of them and an n-th of it.
func (w *workTimes) longest() time.Duration {
	known := w.known()
	if len(known) == 0 {
		return 0
	}
	most := slices.Max(known)
	return most + most/time.Duration(len(known))
}

// longestOf returns the same for runs of which only a mean is known.
func longestOf(mean time.Duration) time.Duration { return 2 * mean }

// LongestAnswer returns the longest time that the answer to a choice is expected to take from sending the
// request; 0 if nothing is known. It allows for the spread of the work of the class and of the wait for a slot,
// and for an upstream that is slower now than its last answers.
func (b *Balancer) LongestAnswer(now time.Time, c Choice) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := c.state
	t := b.classStats(c.class)
	work := cmp.Or(t.workTimes(c.Warm).longest(), t.workTimes(!c.Warm).longest(), longestOf(u.latency))
	work = time.Duration(max(1, u.currentSlowdown(now)) * float64(work))
	if u.inFlight > 1 {
		// Requests in flight have had no answer for this time.
		work = max(work, now.Sub(u.lastAnswer))
	}
	wait := c.wait
	if mean := b.meanServiceTime; mean > 0 {
		wait = longestWait(float64(c.wait)/float64(mean), float64(max(u.Slots, 1)), mean)
	}
	return b.roundTrip[c.Region] + wait + work
}

// longestWait returns the longest wait that is expected for a slot of an upstream with a number of slots, all
// of them in use, where turns is the number of requests in front for each slot and mean the time for which
// one holds a slot. The slots began their work at independent times, so that the k-th of them is free after
// a part of the mean that has a beta distribution. Two standard deviations are added to its mean.
func longestWait(turns, slots float64, mean time.Duration) time.Duration {
	whole, part := math.Modf(turns)
	k, n := part*slots, slots+1
	share := k/n + 2*math.Sqrt(k*(n-k)/(n+1))/n
	return time.Duration((whole + min(1, share)) * float64(mean))
}

// LongestWork returns the longest time that a request of a class is expected to take at the upstreams
// that suit it best, without waiting; 0 if nothing is known.
func (b *Balancer) LongestWork(class string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.classes[class]
	if t == nil {
		return 0
	}
	warm, unknown := t.warmWork.longest(), t.unknownWorkTimes.longest()
	return min(cmp.Or(warm, unknown), cmp.Or(unknown, warm))
}
