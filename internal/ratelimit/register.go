package ratelimit

import (
	"math"
	"time"
)

// Unlimited is the rate of an upstream that announces no limit.
var Unlimited = math.Inf(1)

// Resolution is the step, in requests per second, to which limits are rounded in messages
// between entries.
const Resolution = 0.001

// maxPerSecond is the highest limit that is distinguished from Unlimited.
const maxPerSecond = 1e9

// Round returns a limit rounded as in messages between entries, so that all entries compare the
// same value.
func Round(perSecond float64) float64 {
	if perSecond > maxPerSecond {
		return Unlimited
	}
	return math.Round(perSecond/Resolution) / (1 / Resolution)
}

// Register is an entry's copy of an upstream's limit, a versioned register that is replicated
// between entries. The value with the highest version wins, and of two values with the same
// version the lower one. The zero value is unlimited.
type Register struct {
	perSecond float64
	// version counts the known changes of the value.
	version uint32
	// changed is when this entry adopted the value, confirmed when a response last announced
	// it to this entry.
	changed, confirmed time.Time
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

// Version returns the version of the value; 0 means that no limit has ever been announced.
func (r *Register) Version() uint32 { return r.version }

// Observe records the limit that a response announces, or Unlimited if it announces none. The
// request of that response was sent at sent. Observe reports whether the value has changed.
//
// Responses may arrive out of order. A response to a request that was sent after the present
// value was adopted is newer than that value, so it counts. A higher limit counts only if its
// request was sent after the present limit was last confirmed.
func (r *Register) Observe(perSecond float64, sent, now time.Time) bool {
	current := r.PerSecond()
	switch {
	case perSecond == current:
		r.confirmed = now
		return false
	case sent.Before(r.changed), perSecond > current && sent.Before(r.confirmed):
		return false
	}
	r.set(perSecond, r.version+1, now)
	return true
}

// MergeResult is how the value of another entry compares to the one of this entry.
type MergeResult int

// The results of Merge.
const (
	// MergeSame means that both entries have the same value.
	MergeSame MergeResult = iota
	// MergeAdopted means that the other value was newer and has been adopted.
	MergeAdopted
	// MergeStale means that the other value is older: the other entry has to be sent the value
	// of this one.
	MergeStale
)

// Merge adopts the value of another entry if it is newer, and returns how the two compared.
func (r *Register) Merge(perSecond float64, version uint32, now time.Time) MergeResult {
	switch current := r.PerSecond(); {
	case version == r.version && perSecond == current:
		return MergeSame
	case version > r.version, version == r.version && perSecond < current:
		r.set(perSecond, version, now)
		return MergeAdopted
	}
	return MergeStale
}

// set replaces the value.
func (r *Register) set(perSecond float64, version uint32, now time.Time) {
	r.perSecond, r.version = perSecond, version
	r.changed, r.confirmed = now, now
}
