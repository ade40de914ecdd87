package balance

import (
	"math"
	"time"
)

// slowdownDecay is the time constant with which a reported slowdown loses its weight. Upstreams
// share their instances with other processes, and how long work takes there changes many times a
// second.
const slowdownDecay = 300 * time.Millisecond

// recordSlowdown records how many times as long as usual work takes at the upstream; 0 means that
// the answer did not state it.
func (u *upstreamState) recordSlowdown(now time.Time, x float64) {
	if x > 0 {
		u.slowdown, u.slowdownAt = boundedSlowdown(x), now
	}
}

// currentSlowdown returns the factor by which work is expected to take longer than usual.
func (u *upstreamState) currentSlowdown(now time.Time) float64 {
	if u.slowdownAt.IsZero() {
		return 1
	}
	w := math.Exp(-float64(now.Sub(u.slowdownAt)) / float64(slowdownDecay))
	return 1 + w*(u.slowdown-1)
}

const (
	// minSpeed and maxSpeed bound the speed of an upstream in the capacity of its region. A faster one
	// counts little more than usual: it has no more slots.
	minSpeed = 0.2
	maxSpeed = 1.2
	// minSlowdown and maxSlowdown bound what an upstream may report, and the measured slowdown of a
	// single request.
	minSlowdown = 0.5
	maxSlowdown = 10.0
)

// recordRelativeTime records how many times as long as the mean of its class a request took at the
// upstream, without waiting.
func (u *upstreamState) recordRelativeTime(x float64) {
	x = boundedSlowdown(x)
	if u.relativeTime == 0 {
		u.relativeTime = 1
	}
	u.relativeTime += serviceTimeWeight * (x - u.relativeTime)
}

// boundedSlowdown returns a slowdown within its bounds; 1 if it is no number.
func boundedSlowdown(x float64) float64 {
	if math.IsNaN(x) {
		return 1
	}
	return math.Min(math.Max(x, minSlowdown), maxSlowdown)
}

// speed returns the speed at which the upstream works, 1 for the usual one: the lower of
// the speed that it reports and that of its recent requests.
func (u *upstreamState) speed(now time.Time) float64 {
	slowdown := u.currentSlowdown(now)
	if u.relativeTime > 0 {
		slowdown = math.Max(slowdown, u.relativeTime)
	}
	return math.Min(math.Max(1/slowdown, minSpeed), maxSpeed)
}
