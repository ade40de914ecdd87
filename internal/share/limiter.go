package share

import "sync"

// Limit is the number of requests in flight that an entry may have under one cap.
// It has two parts, Floor and Grant, that expire separately. Both expiry times are
// in nanoseconds of the boot clock, which also advances while the process or the
// machine is suspended.
type Limit struct {
	Service, Region string
	Floor           int
	FloorUntil      int64
	Grant           int
	GrantUntil      int64
}

// At returns the sum of the parts that are valid at now, in nanoseconds of the boot
// clock.
func (l Limit) At(now int64) int {
	n := 0
	if now < l.FloorUntil {
		n += l.Floor
	}
	if now < l.GrantUntil {
		n += l.Grant
	}
	return n
}

// capKey identifies a cap.
type capKey struct{ service, region string }

// Limiter enforces an entry's limits and counts the requests that they refuse. It is
// safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	limits  map[capKey]Limit
	refused map[capKey]int
}

// NewLimiter returns a Limiter without limits. It refuses every request until Set is
// called.
func NewLimiter() *Limiter {
	return &Limiter{limits: make(map[capKey]Limit), refused: make(map[capKey]int)}
}

// Set replaces all limits, including their expiry times, whether the new ones are larger
// or smaller. The limits of different replies of the agent should be set in the order of
// the replies: an older reply may include a part of a grant that was returned since.
func (l *Limiter) Set(limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[capKey]Limit, len(limits))
	for _, limit := range limits {
		next[capKey{limit.Service, limit.Region}] = limit
	}
	l.limits = next
}

// Allow reports whether a request of a service may be sent to a region in which the
// entry has inFlight requests already. It counts a refusal. now is in nanoseconds of
// the boot clock.
func (l *Limiter) Allow(service, region string, inFlight int, now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := capKey{service, region}
	if inFlight < l.limits[k].At(now) {
		return true
	}
	l.refused[k]++
	return false
}

// StatusesAndReset returns the limits that are valid at now, each with its refusals
// since the previous call, and resets the counts of refusals.
func (l *Limiter) StatusesAndReset(now int64) []LimitStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.statuses(now)
	clear(l.refused)
	return out
}

// Statuses returns the same as StatusesAndReset, but keeps the counts of refusals. It
// is for dumps.
func (l *Limiter) Statuses(now int64) []LimitStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.statuses(now)
}

// statuses returns the status of each cap that has a limit or a refusal. The caller
// holds the lock.
func (l *Limiter) statuses(now int64) []LimitStatus {
	var out []LimitStatus
	for k, limit := range l.limits {
		out = append(out, LimitStatus{k.service, k.region, limit.At(now), l.refused[k]})
	}
	for k, n := range l.refused {
		if _, ok := l.limits[k]; !ok {
			out = append(out, LimitStatus{k.service, k.region, 0, n})
		}
	}
	return out
}

// LimitStatus is the valid limit of one cap, in requests in flight, and the number of
// requests refused at it since the counts were last reset.
type LimitStatus struct {
	Service, Region string
	Limit           int
	Refused         int
}
