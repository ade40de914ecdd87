package rollout

import (
	"fmt"
	"time"
)

// Parts of an order's duration at which the steps of a rollout are due.
const (
	// shiftAt is when the new version begins to get more than the canary share.
	shiftAt = 0.5
	// secondShiftAt is when its share grows again.
	secondShiftAt = 0.58
	// switchAt is when it gets all requests. The requests at the other versions then have the rest
	// of the duration to end.
	switchAt = 0.66
	// giveUpAt is when a rollout with too little evidence is rolled back.
	giveUpAt = 0.92
)

const (
	// firstShiftShare and secondShiftShare are the shares in the Shift stage. Objects move to
	// upstreams that have not served them before, in several steps so that these keep up.
	firstShiftShare  = 0.3
	secondShiftShare = 0.65
	// enoughAnswers is how many answers of the new version are needed before it gets more than
	// the canary share, and fewAnswers how many are enough from switchAt on, where little
	// traffic allows no more.
	enoughAnswers = 50
	fewAnswers    = 5
	// settleTime is the least time between the switch and the completion: all entries have learnt
	// of the switch by then.
	settleTime = 2 * time.Second
	// maxDrainTime is the longest time for which a switch waits for requests at the other
	// versions.
	maxDrainTime = 15 * time.Second
)

// Input is what a Plan decides on.
type Input struct {
	Order Order
	// Progress is the stored progress of the order; nil if there is none.
	Progress *Progress
	// Elapsed is the time since the order, and StageTime the time since Progress was stored.
	Elapsed, StageTime time.Duration
	// CanaryShare is the share of the requests in the Canary stage.
	CanaryShare float64
	// Answers is the number of answers of the new version. BadReason explains why the new version
	// is bad; empty if it is not.
	Answers   uint64
	BadReason string
	// NewUpstreams and OldUpstreams are the upstreams of the new and of the other versions that
	// are not leaving. OldInFlight is the number of requests at the others.
	NewUpstreams, OldUpstreams int
	OldInFlight                int
}

// Plan returns the next step of a rollout, and whether one is due.
func Plan(in Input) (Progress, bool) {
	if !in.Progress.Of(&in.Order) {
		return in.step(Running, Canary, in.CanaryShare, "order taken up"), true
	}
	if in.Progress.State != Running {
		return Progress{}, false
	}
	switch {
	case in.BadReason != "":
		return in.step(RolledBack, "", 0, in.BadReason), true
	case in.OldUpstreams == 0 && in.NewUpstreams > 0 && in.OldInFlight == 0 && in.StageTime >= settleTime:
		return in.step(Completed, "", 1, "no upstreams of other versions"), true
	case in.Progress.Stage == Switch:
		return in.complete()
	case in.due(giveUpAt):
		return in.step(RolledBack, "", 0, fmt.Sprintf("too little evidence: %d answers of the new version from %d upstreams", in.Answers, in.NewUpstreams)), true
	}
	return in.advance()
}

// advance returns the next step of the Canary and Shift stages.
func (in *Input) advance() (Progress, bool) {
	needed := uint64(enoughAnswers)
	if in.due(switchAt) {
		needed = fewAnswers
	}
	if in.NewUpstreams == 0 || in.Answers < needed {
		return Progress{}, false
	}
	reason := fmt.Sprintf("%d answers of the new version without excess of bad ones", in.Answers)
	switch share := in.Progress.Share; {
	case in.due(switchAt):
		return in.step(Running, Switch, 1, reason), true
	case in.due(secondShiftAt) && share < secondShiftShare:
		return in.step(Running, Shift, secondShiftShare, reason), true
	case in.due(shiftAt) && share < firstShiftShare:
		return in.step(Running, Shift, firstShiftShare, reason), true
	}
	return Progress{}, false
}

// complete returns the end of the Switch stage: the upstreams of the other versions stop at once
// then, so no request may be in flight there.
func (in *Input) complete() (Progress, bool) {
	drained := in.OldInFlight == 0 && in.StageTime >= settleTime
	if !drained && in.StageTime < maxDrainTime {
		return Progress{}, false
	}
	return in.step(Completed, "", 1, fmt.Sprintf("%d requests left at other versions", in.OldInFlight)), true
}

// due reports whether a part of the order's duration has passed.
func (in *Input) due(part float64) bool {
	return in.Elapsed >= time.Duration(part*float64(in.Order.Duration))
}

func (in *Input) step(s State, stage Stage, share float64, reason string) Progress {
	return Progress{State: s, Version: in.Order.Version, Order: in.Order.Revision, Stage: stage, Share: share, Elapsed: in.Elapsed, Reason: reason}
}
