// Package admit decides whether a request is taken, waits for a slot, or gets
// its final answer at once.
package admit

import (
	"container/list"
	"sync"
	"time"
)

// Reason says why a request is not taken.
type Reason string

// The reasons.
const (
	// ReasonDeadline means that the request could not be answered in time.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that too many requests wait already.
	ReasonQueueFull Reason = "queue-full"
	// ReasonPriority means that the entry keeps its room for more urgent services.
	ReasonPriority Reason = "low-priority"
)

const (
	// minRetry and maxRetry bound the advice to a refused caller.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// topPriority is the highest priority of a service.
	topPriority = 9
	// reservedShare is the part of an entry's room that the lowest priority
	// leaves to the others.
	reservedShare = 0.3
)

// Input is what is known when a request asks to be taken.
type Input struct {
	Now      time.Time
	Deadline time.Time
	// ExpectedLatency is how long the answer is likely to take once sent, 0 if unknown.
	ExpectedLatency time.Duration
	// Queued is the number of requests in the service's queue, QueueLimit how many
	// may be.
	Queued, QueueLimit int
	// MaxWait is the longest wait for a slot.
	MaxWait time.Duration
	// InFlight is the number of requests in the entry, Capacity how many it has room
	// for.
	InFlight, Capacity int
	// Priority is that of the service, from 0 to 9.
	Priority int
}

// Decision is the answer to a request that asks to be taken.
type Decision struct {
	// Reason is empty if the request is taken.
	Reason Reason
	// WaitUntil is until when the request may wait for a slot.
	WaitUntil time.Time
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Decide takes or refuses a request.
func Decide(in Input) Decision {
	latest := in.Deadline.Add(-in.ExpectedLatency)
	if latest.Before(in.Now) {
		return refuse(in, ReasonDeadline)
	}
	if in.InFlight >= roomFor(in.Priority, in.Capacity) {
		return refuse(in, ReasonPriority)
	}
	if in.Queued > in.QueueLimit {
		return refuse(in, ReasonQueueFull)
	}
	giveUp := in.Now.Add(in.MaxWait)
	if latest.Before(giveUp) {
		giveUp = latest
	}
	return Decision{WaitUntil: giveUp}
}

// PriorityOf returns the priority of a request by its rank, of which 0 is the most urgent.
func PriorityOf(rank int) int { return max(0, topPriority-rank) }

// roomFor is how full the entry may be for a request of a priority to be taken.
func roomFor(priority, room int) int {
	kept := reservedShare * float64(topPriority-priority) / topPriority
	return int(float64(room) * (1 - kept))
}

func refuse(in Input, r Reason) Decision {
	return Decision{Reason: r, RetryAfter: RetryAfter(in.Queued, in.ExpectedLatency)}
}

// RetryAfter is the advice to a caller who was refused while others wait.
func RetryAfter(waiting int, expected time.Duration) time.Duration {
	return min(max(time.Duration(waiting+1)*expected, minRetry), maxRetry)
}

// Queue lets requests wait for a slot in the order of their coming. It is safe
// for concurrent use.
type Queue struct {
	mu      sync.Mutex
	waiters list.List
}

// Waiter is a place in a Queue.
type Waiter struct {
	ready chan struct{}
	at    *list.Element
}

// Ready receives a value when it is the ticket's turn to look for a slot.
func (t *Waiter) Ready() <-chan struct{} { return t.ready }

// DiscardTurn gives the present turn up, if it is the ticket's.
func (t *Waiter) DiscardTurn() {
	select {
	case <-t.ready:
	default:
	}
}

// Len returns how many wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// Enqueue takes the last place, or reports false if limit wait already.
func (q *Queue) Enqueue(limit int) (*Waiter, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Len() >= limit {
		return nil, false
	}
	t := &Waiter{ready: make(chan struct{}, 1)}
	t.at = q.waiters.PushBack(t)
	if q.waiters.Len() == 1 {
		q.wake()
	}
	return t, true
}

// Remove gives a place up and gives the next in the queue a turn.
func (q *Queue) Remove(t *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.Remove(t.at)
	q.wake()
}

// Wake gives the first in the queue a turn. It is called when a slot may have
// become free.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wake()
}

func (q *Queue) wake() {
	front := q.waiters.Front()
	if front == nil {
		return
	}
	select {
	case front.Value.(*Waiter).ready <- struct{}{}:
	default:
	}
}
