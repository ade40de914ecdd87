// Package eventsim plays events in virtual time, for simulations that repeat exactly.
package eventsim

import (
	"container/heap"
	"time"
)

// Scheduler holds the events to come, in the order of their times; of two at one time the one that
// was planned first comes first. It is not safe for concurrent use.
type Scheduler struct {
	now     time.Time
	planned int
	queue   queue
}

// New returns an empty Agenda that begins at a time.
func New(begin time.Time) *Scheduler { return &Scheduler{now: begin} }

// Now returns the time of the present event.
func (a *Scheduler) Now() time.Time { return a.now }

// At plans an event for a time.
func (a *Scheduler) At(t time.Time, do func()) {
	a.planned++
	heap.Push(&a.queue, event{t, a.planned, do})
}

// After plans an event.
func (a *Scheduler) After(d time.Duration, do func()) { a.At(a.now.Add(d), do) }

// Run plays all events, and those that they plan.
func (a *Scheduler) Run() {
	for len(a.queue) > 0 {
		a.next()
	}
}

// RunUntil plays the events up to a time, and those that they plan.
func (a *Scheduler) RunUntil(t time.Time) {
	for len(a.queue) > 0 && !a.queue[0].at.After(t) {
		a.next()
	}
}

func (a *Scheduler) next() {
	e := heap.Pop(&a.queue).(event)
	a.now = e.at
	e.do()
}

type event struct {
	at time.Time
	n  int
	do func()
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
