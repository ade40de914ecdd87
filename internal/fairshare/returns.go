package fairshare

import (
	"math"
	"time"
)

const (
	// minReturn is the shortest time after which a refused caller is told to return. A request with
	// less time left than usual by this much is a return rather than a first attempt.
	minReturn = 100 * time.Millisecond
	// heededShare is the part of the time that a caller has left up to which it heeds Retry-After.
	heededShare = 1.0 / 3
	// earlyReturn and lateReturn are how much earlier and later than told a caller may return to find
	// the room that is kept for it. It opens a new connection first.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = 300 * time.Millisecond
	// maxBorrowed is the number of returns of promises by other entries that may be admitted at an
	// entry ahead of unused promises of its own. Callers return to any entry.
	maxBorrowed = 8
	// maxSpare is the number of unused kept places that first attempts may take later.
	maxSpare = 4
	// maxPromises bounds the promises of one rank that are outstanding at an entry.
	maxPromises = 1024
)

// returns schedules the returns of one rank at one entry, evenly at the rate that the plan keeps room
// for, and admits them.
type returns struct {
	// rate is the number of returns per second.
	rate float64
	// next is the earliest time that has not been promised, last the latest that was.
	next, last time.Time
	// promised holds the outstanding promises in the order of their times.
	promised []time.Time
	// borrowed counts the returns that were admitted without a promise of this entry, less the promises
	// that were not used; spare counts the unused promises beyond those.
	borrowed, spare int
}

// setRate sets the number of returns per second.
func (q *returns) setRate(rate float64, now time.Time) {
	if q.rate == 0 && q.next.Before(now) {
		q.next = now
	}
	q.rate = rate
	if rate > 0 && q.next.After(now) {
		q.next = q.last.Add(q.interval())
	}
}

// interval returns the time between two returns.
func (q *returns) interval() time.Duration {
	return time.Duration(min(float64(time.Second)/q.rate, float64(time.Hour)))
}

// offer returns the time after which a refused request will find room, 0 if none can be promised.
func (q *returns) offer(now time.Time, left, objective time.Duration) time.Duration {
	if !(q.rate > 0) || len(q.promised) >= maxPromises {
		return 0
	}
	at := now.Add(minReturn)
	if q.next.After(at) {
		at = q.next
	}
	wait := at.Sub(now)
	if wait > horizon(left, objective) {
		return 0
	}
	q.last, q.next = at, at.Add(q.interval())
	q.promised = append(q.promised, at)
	return wait
}

// horizon returns the longest wait for a return that serves its caller: callers don't heed longer
// ones than a share of the time they have left, and a return should not cost more than the objective.
func horizon(left, objective time.Duration) time.Duration {
	heeded := time.Duration(heededShare * float64(left))
	if objective <= 0 {
		return heeded
	}
	return min(heeded, max(objective, 2*minReturn))
}

// admit reports whether a request that has been under way for elapsed before it arrived is a return
// for which room is kept.
func (q *returns) admit(now time.Time, elapsed time.Duration) bool {
	q.expire(now)
	if elapsed < minReturn {
		return false
	}
	due := len(q.promised) > 0 && !q.promised[0].After(now.Add(earlyReturn))
	switch {
	case due:
		q.promised = q.promised[1:]
	case q.borrowed < maxBorrowed:
		q.borrowed++
	default:
		return false
	}
	return true
}

// takeSpare reports whether a first attempt may take a kept place that was not used.
func (q *returns) takeSpare(now time.Time) bool {
	q.expire(now)
	if q.spare == 0 {
		return false
	}
	q.spare--
	return true
}

// expire drops promises that were not used in time, and places that nobody was promised.
func (q *returns) expire(now time.Time) {
	if places := math.Floor(now.Sub(q.next).Seconds() * q.rate); places >= 1 {
		q.spare = min(maxSpare, q.spare+int(min(places, maxSpare)))
		q.next = now
	}
	for len(q.promised) > 0 && now.Sub(q.promised[0]) > lateReturn {
		q.promised = q.promised[1:]
		if q.borrowed > 0 {
			q.borrowed--
		} else {
			q.spare = min(maxSpare, q.spare+1)
		}
	}
}

// usualTime learns how much time requests with the same objective have left when they arrive for the
// first time. It is the longest time seen, which is forgotten slowly.
type usualTime map[time.Duration]time.Duration

// maxObjectives bounds the objectives that are told apart.
const maxObjectives = 64

// forgetting is the part of the usual time that is forgotten for each request.
const forgetting = 1e-5

// elapsed returns how long a request with this much time left was under way before it arrived.
func (u usualTime) elapsed(objective, left time.Duration) time.Duration {
	usual, known := u[objective]
	if !known && len(u) >= maxObjectives {
		return 0
	}
	usual = max(left, usual-time.Duration(math.Ceil(forgetting*float64(usual))))
	u[objective] = usual
	return usual - left
}
