package ratelimit

import (
	"math"
	"time"
)

// Unlimited is the rate of an upstream that names no limit.
var Unlimited = math.Inf(1)

// Resolution is the part of a request per second to which limits are told.
const Resolution = 0.001

// maxPerSecond is the highest limit that is told apart from none.
const maxPerSecond = 1e9

// Round returns a limit as entries tell it to each other, so that all of them compare alike.
func Round(perSecond float64) float64 {
	if perSecond > maxPerSecond {
		return Unlimited
	}
	return math.Round(perSecond/Resolution) / (1 / Resolution)
}

// Register is what an entry knows of an upstream's limit. Entries agree on the value with the
// highest version, and of two with the same version on the lower one. The zero value is
// unlimited.
type Register struct {
	perSecond float64
	// version counts the changes of the value that the entries know of.
	version uint32
	// changed is when this entry learnt of the value, seen when an answer last named it here.
	changed, seen time.Time
}

// PerSecond returns the limit in requests per second, or Unlimited.
func (r *Register) PerSecond() float64 {
	if r.version == 0 {
		return Unlimited
	}
	return r.perSecond
}

// Limited reports whether there is a limit.
func (r *Register) Limited() bool { return r.PerSecond() < Unlimited }

// Version returns the version of the value; 0 means that no limit was ever known.
func (r *Register) Version() uint32 { return r.version }

// Observe takes in what an answer names: a limit, or Unlimited. Sent is when its request was
// sent. It reports whether the value has changed.
//
// Answers overtake each other. Whatever was sent after the present value was learnt has
// been answered later than that, so it counts. A higher limit counts only if its request was
// sent after the present one was last named.
func (r *Register) Observe(perSecond float64, sent, now time.Time) bool {
	known := r.PerSecond()
	switch {
	case perSecond == known:
		r.seen = now
		return false
	case sent.Before(r.changed), perSecond > known && sent.Before(r.seen):
		return false
	}
	r.set(perSecond, r.version+1, now)
	return true
}

// MergeResult is how what another entry knows relates to what this one does.
type MergeResult int

// The orders.
const (
	// MergeSame means that both know the same.
	MergeSame MergeResult = iota
	// MergeAdopted means that this entry has taken in what the other knows.
	MergeAdopted
	// MergeStale means that the other entry has to be told.
	MergeStale
)

// Merge takes in what another entry knows.
func (r *Register) Merge(perSecond float64, version uint32, now time.Time) MergeResult {
	switch known := r.PerSecond(); {
	case version == r.version && perSecond == known:
		return MergeSame
	case version > r.version, version == r.version && perSecond < known:
		r.set(perSecond, version, now)
		return MergeAdopted
	}
	return MergeStale
}

func (r *Register) set(perSecond float64, version uint32, now time.Time) {
	r.perSecond, r.version = perSecond, version
	r.changed, r.seen = now, now
}
