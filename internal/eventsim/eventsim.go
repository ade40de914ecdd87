// Package eventsim runs discrete-event simulations in virtual time that repeat exactly.
package eventsim

import (
	"container/heap"
	"time"
)

// Scheduler runs events in the order of their times. Events at the same time run in the order
// in which they were scheduled. It is not safe for concurrent use.
type Scheduler struct {
	now       time.Time
	scheduled int
	queue     eventQueue
}

// New returns a Scheduler without events whose virtual time starts at a given time.
func New(start time.Time) *Scheduler { return &Scheduler{now: start} }

// Now returns the virtual time: that of the event that runs or ran last, or the start time
// before the first event.
func (s *Scheduler) Now() time.Time { return s.now }

// At schedules a call of fn at a virtual time.
func (s *Scheduler) At(t time.Time, fn func()) {
	s.scheduled++
	heap.Push(&s.queue, event{t, s.scheduled, fn})
}

// After schedules a call of fn after a duration of virtual time.
func (s *Scheduler) After(d time.Duration, fn func()) { s.At(s.now.Add(d), fn) }

// Run runs all events, including those that are scheduled meanwhile.
func (s *Scheduler) Run() {
	for len(s.queue) > 0 {
		s.runNext()
	}
}

// RunUntil runs all events up to and including a virtual time, including those that are
// scheduled meanwhile.
func (s *Scheduler) RunUntil(t time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(t) {
		s.runNext()
	}
}

// runNext advances the virtual time to the next event and runs it.
func (s *Scheduler) runNext() {
	e := heap.Pop(&s.queue).(event)
	s.now = e.at
	e.fn()
}

// event is a scheduled call; seq orders the events of the same time.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
