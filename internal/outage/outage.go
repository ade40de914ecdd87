// Package outage judges whether a key-value service is away, or whether only some
// entries are cut off from it.
//
// The difference matters for entries of others that disappear from the service: after
// an outage they may have lapsed though their owners live, otherwise their owners have
// left. What an entry sees itself goes before what peers say: a service that answers the
// entry's own heartbeats is not away, whoever has lost it.
//
// A Judge does no I/O and reads no clock.
package outage

import "time"

// returnSlack is by how much two entries may differ on when the service came back:
// each notices with its next call, and calls are a second apart.
const returnSlack = time.Second

// Options sets up a Judge.
type Options struct {
	// DetectionTime is the longest time from a change of the service, away or back, until a
	// heartbeat shows it: the time between two heartbeats and the timeout of one.
	DetectionTime time.Duration
}

// Detector follows the own calls and the words of peers. It is not safe for concurrent
// use.
type Detector struct {
	opt Options
	// answered is set if the last heartbeat that ended was answered, broken is when one
	// last failed.
	answered bool
	broken   time.Time
	lost     bool
	returned time.Time
}

// New returns a Judge that takes the service to be there.
func New(opt Options) *Detector { return &Detector{opt: opt} }

// Unreachable reports whether the service is taken to be away.
func (j *Detector) Unreachable() bool { return j.lost }

// RecoveredAt returns when the service was taken to be back after an outage; zero if it
// never was away.
func (j *Detector) RecoveredAt() time.Time { return j.returned }

// RecordHeartbeatSuccess records that a heartbeat of the entry was answered. It reports
// whether the service is back with it.
func (j *Detector) RecordHeartbeatSuccess(now time.Time) bool {
	j.answered = true
	return j.RecordSuccess(now)
}

// RecordHeartbeatFailure records that a heartbeat of the entry was not answered.
func (j *Detector) RecordHeartbeatFailure(now time.Time) {
	j.answered, j.broken = false, now
}

// RecordSuccess records that a call of the entry was answered. It reports whether the
// service is back with it.
func (j *Detector) RecordSuccess(now time.Time) bool {
	if !j.lost {
		return false
	}
	j.lost, j.returned = false, now
	return true
}

// RecordReadFailure records that somebody who read the service cannot reach it: the entry itself,
// or the peer that it followed. It reports whether the service is taken for lost with it.
//
// While heartbeats are answered it is not. Entries that take their reader's loss for the
// service's keep upstreams that have left, in case their entries lapsed. An outage that no
// heartbeat meets is too short for entries to lapse.
func (j *Detector) RecordReadFailure() bool {
	if j.answered || j.lost {
		return false
	}
	j.lost = true
	return true
}

// RecordPeerReachable records that a peer reaches the service, which ends a loss. Whether there was
// an outage the peer has to say (PeerReturned). It reports whether that is news.
func (j *Detector) RecordPeerReachable() bool {
	news := j.lost
	j.lost = false
	return news
}

// RecordPeerRecovery records that a peer reached the service again after a loss of its own. It
// reports whether the entry takes that for the return of the service: not if it knew
// already, nor if none of its own heartbeats failed near that time, since then only the
// peer was cut off.
func (j *Detector) RecordPeerRecovery(at time.Time) bool {
	if j.contradicts(at) || at.Sub(j.returned) <= returnSlack {
		return false
	}
	j.returned = at
	return true
}

// contradicts reports whether the own heartbeats were answered when an outage is said
// to have ended. Both they and the peer noticed the end within Notice.
func (j *Detector) contradicts(at time.Time) bool {
	return j.answered && (j.broken.IsZero() || at.Sub(j.broken) > 2*j.opt.DetectionTime)
}
