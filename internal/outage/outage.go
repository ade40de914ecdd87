// Package outage decides whether a key-value store is unreachable for all nodes, or
// whether only some nodes are cut off from it.
//
// The difference matters for records that disappear from the store: after an outage their
// leases may have expired though their owners are running, otherwise their owners have
// left. The node's own heartbeats, the calls by which it renews its lease, take precedence
// over reports of peers: a store that answers them is not in an outage, whichever peer has
// lost its connection to it.
//
// A Detector does no I/O and reads no clock.
package outage

import "time"

// recoverySlack is by how much two nodes may differ on when the store recovered: each
// notices with its next call, and calls are a second apart.
const recoverySlack = time.Second

// Options configures a Detector.
type Options struct {
	// DetectionTime is the longest time from the start or end of an outage until a heartbeat
	// shows it: the time between two heartbeats plus the timeout of one.
	DetectionTime time.Duration
}

// Detector tracks outages of the store from the results of the node's own calls and from
// reports of peers. It is not safe for concurrent use.
type Detector struct {
	opt Options
	// heartbeatOK is set if the last finished heartbeat was answered, heartbeatFailedAt is
	// when one last failed.
	heartbeatOK       bool
	heartbeatFailedAt time.Time
	unreachable       bool
	recoveredAt       time.Time
}

// New returns a Detector that considers the store reachable.
func New(opt Options) *Detector { return &Detector{opt: opt} }

// Unreachable reports whether the store is considered unreachable.
func (d *Detector) Unreachable() bool { return d.unreachable }

// RecoveredAt returns when the last outage ended; zero if there was none.
func (d *Detector) RecoveredAt() time.Time { return d.recoveredAt }

// RecordHeartbeatSuccess records that a heartbeat of the node was answered. It reports
// whether this ended an outage.
func (d *Detector) RecordHeartbeatSuccess(now time.Time) bool {
	d.heartbeatOK = true
	return d.RecordSuccess(now)
}

// RecordHeartbeatFailure records that a heartbeat of the node was not answered.
func (d *Detector) RecordHeartbeatFailure(now time.Time) {
	d.heartbeatOK, d.heartbeatFailedAt = false, now
}

// RecordSuccess records that a call of the node was answered. It reports whether this
// ended an outage.
func (d *Detector) RecordSuccess(now time.Time) bool {
	if !d.unreachable {
		return false
	}
	d.unreachable, d.recoveredAt = false, now
	return true
}

// RecordReadFailure records that a reader of the store cannot reach it: the node itself, or
// the peer that it followed. It reports whether the store is considered unreachable from
// now on.
//
// While heartbeats are answered, the store is not considered unreachable. Nodes that mistook
// their reader's lost connection for an outage would retain upstreams that have left, in case
// their records had lapsed. An outage that no heartbeat falls into is too short for records to
// lapse.
func (d *Detector) RecordReadFailure() bool {
	if d.heartbeatOK || d.unreachable {
		return false
	}
	d.unreachable = true
	return true
}

// RecordPeerReachable records that a peer reaches the store, so that the store is no longer
// considered unreachable. It records no recovery: whether there was an outage is for the peer
// to report (RecordPeerRecovery). It reports whether the store was considered unreachable.
func (d *Detector) RecordPeerReachable() bool {
	changed := d.unreachable
	d.unreachable = false
	return changed
}

// RecordPeerRecovery records that a peer reached the store again after it had lost it. It
// reports whether this is adopted as the time at which the store recovered: not if the
// recovery is already known, nor if none of the node's own heartbeats failed near that time,
// since then only the peer was cut off.
func (d *Detector) RecordPeerRecovery(at time.Time) bool {
	if d.contradictedByHeartbeats(at) || at.Sub(d.recoveredAt) <= recoverySlack {
		return false
	}
	d.recoveredAt = at
	return true
}

// contradictedByHeartbeats reports whether the node's own heartbeats were answered around
// the reported end of an outage. The node and the peer each notice the end within
// DetectionTime.
func (d *Detector) contradictedByHeartbeats(at time.Time) bool {
	return d.heartbeatOK && (d.heartbeatFailedAt.IsZero() || at.Sub(d.heartbeatFailedAt) > 2*d.opt.DetectionTime)
}
