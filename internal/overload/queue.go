package overload

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// guaranteedPart is the least part of its proportional share of the sends that each rank keeps,
	// however many more urgent requests there are: nobody starves.
	guaranteedPart = 1.0 / 3
	// maxOwed is the largest number of sends by which a rank may lag behind that part, and by which
	// one that is ahead of it counts as ahead.
	maxOwed = 2.0
	// waitShare is the largest part of the time that a request may wait for which it may be expected to
	// wait. Waits vary, since each object has only a few upstreams.
	waitShare = 0.5
	// excessFactor is how many times as long as it may a waiting request must be expected to wait to
	// be refused. Requests of which that is unclear keep their place.
	excessFactor = 1.5
	// reserveFrom is the ratio of what a rank and all more urgent ones together ask for to the even part
	// of the room from which the rank leaves places to the others. From reserveAll on it leaves all that it should.
	reserveFrom = 1.0
	reserveAll  = 1.25
	// maxWaiting bounds the memory of a queue.
	maxWaiting = 4096
	// minActive is the number of recent arrivals from which other ranks leave places to a rank.
	minActive = 0.5
	// idleRankTime is the time after which a rank without requests is forgotten.
	idleRankTime = 10 * rateWindow
	// maxRetryAfter is the longest time after which a refused request is asked to return.
	maxRetryAfter = 30 * time.Second
)

// Waiter is a request in a Queue.
type Waiter[T any] struct {
	Request
	// Latest is the last time at which the request can be sent and still meet its objective.
	Latest time.Time
	Value  T

	seq    uint64
	queued bool
}

// Until returns the time until which the request may wait: a response after twice its objective has
// hardly a use, and after the deadline none.
func (w *Waiter[T]) Until() time.Time {
	end := w.Deadline.Add(-w.Work)
	if late := w.Latest.Add(w.Objective); w.Objective > 0 && late.Before(end) {
		return late
	}
	return end
}

// Queue holds the requests for one service that wait for a slot at one entry. More urgent ranks come
// first, and within a rank those with the least time left that still suffices for their objective.
// Requests that can no longer meet it come after all others. Each rank keeps a small part of the
// sends. A Queue is not safe for concurrent use. Its size is bounded by maxWaiting requests and the
// ranks of the configuration.
type Queue[T any] struct {
	// ranks are those with recent requests, the most urgent first.
	ranks   []*rankState[T]
	waiting int
	seq     uint64
	pace    pace
	// expected is the least pace to be expected.
	expected float64
	// refusedAt is when a request was last refused for want of room, and short is set while the
	// service counts as short of room.
	refusedAt time.Time
	short     bool
}

// rankState is the state of one rank.
type rankState[T any] struct {
	rank int
	// waiters are ordered by Latest.
	waiters  []*Waiter[T]
	arrivals decayed
	sends    decayed
	lastSeen time.Time
	// owed is the number of sends by which the rank lags behind its guaranteed part.
	owed  float64
	stats RankStatus
}

// RankStatus counts the requests of one rank since the Queue began to track it.
type RankStatus struct {
	Rank    int `json:"rank"`
	Waiting int `json:"waiting"`
	// Asked counts arrivals; Sent those that got a slot, of which Waited did not get it at once.
	Asked  int64 `json:"asked"`
	Sent   int64 `json:"sent"`
	Waited int64 `json:"waited"`
	// RefusedAtOnce counts requests refused because their turn would have come too late, RefusedLater
	// those that were let past and could no longer be served in time, Expired those that waited as long
	// as they could, and Left those whose callers left.
	RefusedAtOnce int64 `json:"refused_at_once"`
	RefusedLater  int64 `json:"refused_later"`
	Expired       int64 `json:"expired"`
	Left          int64 `json:"left"`
	// WaitSeconds is the total and MaxWaitSeconds the longest time that sent requests waited.
	WaitSeconds    float64 `json:"wait_s"`
	MaxWaitSeconds float64 `json:"max_wait_s"`
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Status returns the state of each rank, the most urgent first.
func (q *Queue[T]) Status() []RankStatus {
	var out []RankStatus
	for _, s := range q.ranks {
		status := s.stats
		status.Rank, status.Waiting = s.rank, len(s.waiters)
		out = append(out, status)
	}
	return out
}

// Arrive counts a request that asks for a slot for the first time. expected is the least number of
// requests per second that the entry can be expected to send.
func (q *Queue[T]) Arrive(now time.Time, rank int, expected float64) {
	q.expected = expected
	s := q.state(now, rank)
	s.arrivals.add(now, 1)
	s.stats.Asked++
}

// Admit decides whether a request that found no slot may wait. It refuses
// one that would miss its objective; RetryAfter is then when its turn would come.
func (q *Queue[T]) Admit(now time.Time, r Request, latest time.Time) Verdict {
	s := q.state(now, r.Rank)
	if len(s.waiters) == 0 && s.owed >= 1 {
		return Verdict{}
	}
	own := s.before(now, latest)
	ahead := own
	for _, other := range q.ranks {
		if other.rank < r.Rank {
			ahead += len(other.inTime(now))
		}
	}
	useful := latest.Sub(now)
	if useful < 0 {
		// It comes after all others, and is of use for as long as it may wait.
		ahead, useful = q.waiting, max(0, useful+r.Objective)
		own = len(s.waiters)
	}
	wait := q.expectedWait(now, s, ahead, own)
	if q.waiting < maxWaiting && (ahead == 0 || float64(wait) <= waitShare*float64(useful)) {
		return Verdict{}
	}
	s.stats.RefusedAtOnce++
	q.refusedAt = now
	return Verdict{Refused: true, RetryAfter: min(wait, maxRetryAfter)}
}

// expectedWait returns the time until a request of a rank is sent that has ahead others before it, own
// of them of its rank. Requests of more urgent ranks that arrive meanwhile are let past, apart from the
// rank's guaranteed part.
func (q *Queue[T]) expectedWait(now time.Time, s *rankState[T], ahead, own int) time.Duration {
	pace := q.pace.perSecond(now, q.expected)
	all, urgent := 0.0, 0.0
	for _, other := range q.ranks {
		all += other.arrivals.perSecond(now)
		if other.rank < s.rank {
			urgent += other.sends.perSecond(now)
		}
	}
	guaranteed := 0.0
	if all > 0 {
		guaranteed = pace * guaranteedPart * s.arrivals.perSecond(now) / all
	}
	seconds := min(timeFor(ahead, pace-urgent), timeFor(own+1, guaranteed))
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// timeFor returns the seconds until n requests are sent.
func timeFor(n int, perSecond float64) float64 {
	if perSecond <= 0 {
		return math.Inf(1)
	}
	return float64(n) / perSecond
}

// Push adds a request that waits.
func (q *Queue[T]) Push(now time.Time, r Request, latest time.Time, value T) *Waiter[T] {
	q.seq++
	w := &Waiter[T]{Request: r, Latest: latest, Value: value, seq: q.seq, queued: true}
	s := q.state(now, r.Rank)
	i, _ := slices.BinarySearchFunc(s.waiters, w, compareWaiters[T])
	s.waiters = slices.Insert(s.waiters, i, w)
	q.waiting++
	q.pace.advance(now, true)
	return w
}

func compareWaiters[T any](a, b *Waiter[T]) int {
	return cmp.Or(a.Latest.Compare(b.Latest), cmp.Compare(a.seq, b.seq))
}

// Sent counts a request that got a slot at once.
func (q *Queue[T]) Sent(now time.Time, rank int) { q.countSent(now, q.state(now, rank)) }

// Send removes a waiting request that got a slot.
func (q *Queue[T]) Send(now time.Time, w *Waiter[T]) {
	s := q.state(now, w.Rank)
	wait := now.Sub(w.Arrived).Seconds()
	s.stats.Waited++
	s.stats.WaitSeconds += wait
	s.stats.MaxWaitSeconds = max(s.stats.MaxWaitSeconds, wait)
	q.countSent(now, s)
	q.remove(now, w)
}

// countSent counts a send and divides what it makes owed.
func (q *Queue[T]) countSent(now time.Time, s *rankState[T]) {
	s.stats.Sent++
	s.sends.add(now, 1)
	if q.waiting > 0 {
		q.pace.sent.add(now, 1)
	}
	all := 0.0
	for _, other := range q.ranks {
		all += other.arrivals.value(now)
	}
	if all > 0 {
		for _, other := range q.ranks {
			other.owed = min(maxOwed, other.owed+guaranteedPart*other.arrivals.value(now)/all)
		}
	}
	s.owed = max(-maxOwed, s.owed-1)
}

// Reserved returns the part of the places behind the slots of an upstream, from 0 to 1, that requests of
// a rank leave to more urgent ones. Entries learn late of the requests of others; without places kept
// free, the most urgent requests would wait for those that less urgent ones of other entries take. Ranks
// that find room together with all more urgent ones leave none.
func (q *Queue[T]) Reserved(now time.Time, rank int) float64 {
	s := q.state(now, rank)
	if s.owed >= 1 {
		return 0
	}
	urgent, active := 0, 0
	asked := 0.0
	for _, other := range q.ranks {
		if other != s && other.arrivals.value(now) < minActive {
			continue
		}
		active++
		if other.rank < rank {
			urgent++
		}
		if other.rank <= rank {
			asked += other.arrivals.perSecond(now)
		}
	}
	if urgent == 0 || q.expected <= 0 {
		return 0
	}
	load := asked / q.expected
	return min(1, max(0, (load-reserveFrom)/(reserveAll-reserveFrom))) * float64(urgent) / float64(active-1)
}

// Shortage reports whether the service is short of room: whether requests have recently been refused for
// want of it. changed is set on the first call after a change.
func (q *Queue[T]) Shortage(now time.Time) (short, changed bool) {
	was := q.short
	q.short = !q.refusedAt.IsZero() && now.Sub(q.refusedAt) < rateWindow
	return q.short, q.short != was
}

// Leaving says why a request leaves a Queue without a slot.
type Leaving int

// The reasons.
const (
	// CallerLeft means that the caller no longer waits for the response.
	CallerLeft Leaving = iota
	// WaitedInVain means that the request has waited as long as it may.
	WaitedInVain
	// LetPast means that more urgent requests leave it no room in time.
	LetPast
	// Moved means that the request asks again, or was refused for another reason than the Queue.
	Moved
)

// Leave removes a waiting request that got no slot.
func (q *Queue[T]) Leave(now time.Time, w *Waiter[T], why Leaving) {
	stats := &q.state(now, w.Rank).stats
	switch why {
	case CallerLeft:
		stats.Left++
	case WaitedInVain:
		stats.Expired++
		q.refusedAt = now
	case LetPast:
		stats.RefusedLater++
		q.refusedAt = now
	case Moved:
	}
	q.remove(now, w)
}

// remove removes a waiting request.
func (q *Queue[T]) remove(now time.Time, w *Waiter[T]) {
	if !w.queued {
		return
	}
	w.queued = false
	s := q.state(now, w.Rank)
	i, _ := slices.BinarySearchFunc(s.waiters, w, compareWaiters[T])
	s.waiters = slices.Delete(s.waiters, i, i+1)
	q.waiting--
	q.pace.advance(now, q.waiting > 0)
}

// Order returns the waiting requests in the order in which they are to be sent. The Queue must not be
// changed meanwhile.
func (q *Queue[T]) Order(now time.Time) iter.Seq[*Waiter[T]] {
	return func(yield func(*Waiter[T]) bool) {
		for _, s := range q.ranks {
			if s.owed >= 1 && len(s.inTime(now)) > 0 && !yield(s.inTime(now)[0]) {
				return
			}
		}
		for _, s := range q.ranks {
			for i, w := range s.inTime(now) {
				if (i > 0 || s.owed < 1) && !yield(w) {
					return
				}
			}
		}
		for _, s := range q.ranks {
			for _, w := range s.late(now) {
				if !yield(w) {
					return
				}
			}
		}
	}
}

// Excess returns the waiting requests that others will probably keep from being sent in time, so that
// they are better refused now.
func (q *Queue[T]) Excess(now time.Time) []*Waiter[T] {
	var excess []*Waiter[T]
	ahead := 0
	for _, s := range q.ranks {
		own := 0
		for _, w := range s.inTime(now) {
			wait := q.expectedWait(now, s, ahead+own, own)
			if ahead+own > 0 && s.owed < 1 && float64(wait) > excessFactor*float64(w.Latest.Sub(now)) {
				excess = append(excess, w)
				continue
			}
			own++
		}
		ahead += own
	}
	return excess
}

// RetryAfter returns the time after which a request of a rank would find its turn if it came behind
// those that wait now.
func (q *Queue[T]) RetryAfter(now time.Time, rank int) time.Duration {
	s := q.state(now, rank)
	ahead := 0
	for _, other := range q.ranks {
		if other.rank <= rank {
			ahead += len(other.inTime(now))
		}
	}
	return q.expectedWait(now, s, ahead, len(s.inTime(now)))
}

// state returns the state of a rank, which it creates if needed. It forgets ranks without requests.
func (q *Queue[T]) state(now time.Time, rank int) *rankState[T] {
	i, ok := slices.BinarySearchFunc(q.ranks, rank, func(s *rankState[T], rank int) int { return cmp.Compare(s.rank, rank) })
	if ok {
		q.ranks[i].lastSeen = now
		return q.ranks[i]
	}
	s := &rankState[T]{rank: rank, lastSeen: now}
	q.ranks = slices.Insert(q.ranks, i, s)
	q.ranks = slices.DeleteFunc(q.ranks, func(s *rankState[T]) bool { return len(s.waiters) == 0 && now.Sub(s.lastSeen) > idleRankTime })
	return s
}

// late returns the waiting requests that can no longer meet their objectives.
func (s *rankState[T]) late(now time.Time) []*Waiter[T] { return s.waiters[:s.firstInTime(now)] }

// inTime returns the waiting requests that can still meet their objectives.
func (s *rankState[T]) inTime(now time.Time) []*Waiter[T] { return s.waiters[s.firstInTime(now):] }

func (s *rankState[T]) firstInTime(now time.Time) int {
	i, _ := slices.BinarySearchFunc(s.waiters, now, func(w *Waiter[T], now time.Time) int {
		if w.Latest.Before(now) {
			return -1
		}
		return 1
	})
	return i
}

// before returns the number of requests in time that have less time left than until latest.
func (s *rankState[T]) before(now, latest time.Time) int {
	n := 0
	for _, w := range s.inTime(now) {
		if !w.Latest.After(latest) {
			n++
		}
	}
	return n
}
