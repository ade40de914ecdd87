package fairshare

import (
	"math"
	"time"
)

const (
	// Interval is the time between two calls of Gate.Update, for which the constants below hold.
	Interval = 250 * time.Millisecond

	// targetUtilisation is the part of the slots that a plan means to occupy before it is corrected.
	targetUtilisation = 0.95
	// minMeant and maxMeant bound the number of requests per slot, running and waiting, that corrections
	// aim at. Each request can only go to a few upstreams: with less waiting, some slots are idle while
	// others have queues.
	minMeant = 1.2
	maxMeant = 3.0
	// waitShare is the part of the time that the objective leaves for waiting that requests may wait on
	// average: all of it, since the order decides who waits. It is less where organisations of one rank
	// compete, since requests that wait are not told apart by organisation: a long queue favours those
	// who ask for most.
	waitShare          = 1.0
	competingWaitShare = 0.2
	// beginUtilisation is the number of requests per slot from which the demand may exceed the room.
	beginUtilisation = 0.95
	// queuedUtilisation is the number of requests per slot from which there is no room whatever the
	// estimated demand.
	queuedUtilisation = 2
	// endUtilisation is the occupied part of the slots below which there is room whatever the
	// estimated demand, and endDemand the demand, as a part of the room, from which there is room.
	endUtilisation = 0.5
	endDemand      = 0.9
	// beginSteps and endSteps are the numbers of updates in a row that show that room has become short,
	// or has returned.
	beginSteps = 2
	endSteps   = 5

	// proportionalGain is the relative change of the room for a utilisation that is off by 1. It drains
	// a queue within a second or so, which is longer than reports of the load are under way.
	proportionalGain = 0.3
	// growGain and shrinkGain are the relative changes of the correction at each update for a
	// utilisation that is off by 1. Slots that idle while requests are refused weigh more than a queue,
	// which drains anyway.
	growGain   = 0.1
	shrinkGain = 0.05
	// maxError bounds the requests per slot beyond those meant that are taken into account.
	maxError = 0.8
	// maxCorrection bounds the correction: work on an object that an upstream has not cached takes
	// several times as long.
	maxCorrection = 4.0
)

// meantPerSlot returns the number of requests per slot, running and waiting, at which requests with this
// much work wait for a share of the time that the objective leaves; 0 stands for an unknown work or no
// objective.
func meantPerSlot(work, objective time.Duration, share float64) float64 {
	if work <= 0 || objective <= 0 {
		return minMeant
	}
	waiting := share * float64(objective-work) / float64(work)
	return max(minMeant, min(maxMeant, 1+waiting))
}

// estimate is the estimated room of a service, and whether it is short.
type estimate struct {
	// correction is the factor by which the slots that the demand needs are less than its measured work
	// says; 0 before the first use.
	correction float64
	// meant is the number of requests per slot that corrections aim at.
	meant float64
	short bool
	// lastBusy is the number of requests at the upstreams at the last update.
	lastBusy float64
	// steps counts the updates in a row that speak for the opposite of short.
	steps int
}

// update takes in the number of slots, the requests at them, and the demand, in slots.
// It returns the room in slots, in the units of the demand.
func (e *estimate) update(slots, busy, demand float64) float64 {
	if e.correction == 0 {
		e.correction = 1
	}
	off := e.off(slots, busy)
	queueGrows := busy >= e.lastBusy
	e.lastBusy = busy
	room := e.room(slots, off)
	if e.short {
		e.correct(off, demand > room, queueGrows)
		e.count(demand <= endDemand*room || busy < endUtilisation*slots, endSteps)
		return room
	}
	queued := busy >= queuedUtilisation*slots
	e.count(queued || busy >= beginUtilisation*slots && demand > room, beginSteps)
	if e.short && queued && demand <= room {
		e.correction = bounded(e.correction * endDemand * demand / room)
		room = e.room(slots, off)
	}
	return room
}

// count counts an update, and changes short once enough of them in a row have spoken for it.
func (e *estimate) count(forChange bool, enough int) {
	if !forChange {
		e.steps = 0
		return
	}
	e.steps++
	if e.steps >= enough {
		e.short, e.steps = !e.short, 0
	}
}

// room returns the estimated room. It is less while more requests wait at the upstreams than should,
// so that their queues drain.
func (e *estimate) room(slots, off float64) float64 {
	return slots * targetUtilisation * e.correction * (1 + proportionalGain*off)
}

// correct adapts the correction to a utilisation that is off. Idle slots only count while requests are
// refused, a queue only while it grows.
func (e *estimate) correct(off float64, refusing, queueGrows bool) {
	switch {
	case off > 0 && refusing:
		e.correction = bounded(e.correction * math.Exp(growGain*off))
	case off < 0 && queueGrows:
		e.correction = bounded(e.correction * math.Exp(shrinkGain*off))
	}
}

// off returns by how much the requests per slot, running and waiting, are less than they
// should be.
func (e *estimate) off(slots, busy float64) float64 {
	return max(-maxError, e.meant-busy/slots)
}

func bounded(correction float64) float64 {
	return max(1/maxCorrection, min(maxCorrection, correction))
}
