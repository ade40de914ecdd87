// Package admit implements admission control: it decides whether a request is accepted, may wait
// for a slot, or is refused at once. It also holds the queue of waiting requests.
package admit

import (
	"container/list"
	"sync"
	"time"
)

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonDeadline means that the request could not be answered before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that too many requests are waiting already.
	ReasonQueueFull Reason = "queue-full"
	// ReasonPriority means that the entry reserves its remaining capacity for requests of higher
	// priority.
	ReasonPriority Reason = "low-priority"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// topPriority is the highest priority.
	topPriority = 9
	// maxReservedShare is the share of an entry's capacity that requests of the lowest priority may
	// not use.
	maxReservedShare = 0.3
)

// Input is the state on which the admission of a request is decided.
type Input struct {
	Now      time.Time
	Deadline time.Time
	// ExpectedLatency is the expected time until the answer once the request is sent, 0 if unknown.
	ExpectedLatency time.Duration
	// Queued is the number of requests in the service's queue, QueueLimit the largest number
	// allowed.
	Queued, QueueLimit int
	// MaxWait is the longest time that the request may wait for a slot.
	MaxWait time.Duration
	// InFlight is the number of requests in the entry, Capacity the largest number allowed.
	InFlight, Capacity int
	// Priority is the priority of the request, from 0 to 9 (highest).
	Priority int
}

// Decision is the result of Decide.
type Decision struct {
	// Reason is empty if the request is accepted.
	Reason Reason
	// WaitUntil is the time until which an accepted request may wait for a slot.
	WaitUntil time.Time
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Decide accepts or refuses a request.
func Decide(in Input) Decision {
	latest := in.Deadline.Add(-in.ExpectedLatency)
	if latest.Before(in.Now) {
		return refuse(in, ReasonDeadline)
	}
	if in.InFlight >= capacityFor(in.Priority, in.Capacity) {
		return refuse(in, ReasonPriority)
	}
	if in.Queued > in.QueueLimit {
		return refuse(in, ReasonQueueFull)
	}
	waitUntil := in.Now.Add(in.MaxWait)
	if latest.Before(waitUntil) {
		waitUntil = latest
	}
	return Decision{WaitUntil: waitUntil}
}

// PriorityOf returns the priority of a request by its rank, where rank 0 is the most urgent.
func PriorityOf(rank int) int { return max(0, topPriority-rank) }

// capacityFor returns the number of requests in the entry from which a request of a priority is
// refused.
func capacityFor(priority, capacity int) int {
	reserved := maxReservedShare * float64(topPriority-priority) / topPriority
	return int(float64(capacity) * (1 - reserved))
}

// refuse returns the Decision to refuse a request for a reason.
func refuse(in Input, r Reason) Decision {
	return Decision{Reason: r, RetryAfter: RetryAfter(in.Queued, in.ExpectedLatency)}
}

// RetryAfter returns the time after which a refused caller should retry: the expected time for the
// waiting requests to be answered one after the other, within fixed bounds.
func RetryAfter(waiting int, expected time.Duration) time.Duration {
	return min(max(time.Duration(waiting+1)*expected, minRetryAfter), maxRetryAfter)
}

// Queue is a FIFO queue of requests that wait for a slot. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiters list.List
}

// Waiter is the position of one request in a Queue.
type Waiter struct {
	ready   chan struct{}
	element *list.Element
}

// Ready returns the channel that receives a value when it is the waiter's turn to try to get a
// slot.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// DiscardTurn discards the waiter's current turn, if it has one.
func (w *Waiter) DiscardTurn() {
	select {
	case <-w.ready:
	default:
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// Enqueue adds a waiter at the end of the queue, or returns false if limit requests are waiting
// already. The first waiter gets a turn at once.
func (q *Queue) Enqueue(limit int) (*Waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Len() >= limit {
		return nil, false
	}
	w := &Waiter{ready: make(chan struct{}, 1)}
	w.element = q.waiters.PushBack(w)
	if q.waiters.Len() == 1 {
		q.wakeFirst()
	}
	return w, true
}

// Remove removes a waiter and gives the first of the remaining ones a turn.
func (q *Queue) Remove(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.Remove(w.element)
	q.wakeFirst()
}

// Wake gives the first waiter a turn. It is called when a slot may have become free.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeFirst()
}

// wakeFirst gives the first waiter a turn. The caller must hold q.mu.
func (q *Queue) wakeFirst() {
	front := q.waiters.Front()
	if front == nil {
		return
	}
	select {
	case front.Value.(*Waiter).ready <- struct{}{}:
	default:
	}
}
