package outage

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// newDetector returns a Detector for heartbeats that are a second apart and time out after a
// second.
func newDetector() *Detector { return New(Options{DetectionTime: 2 * time.Second}) }

// TestReadFailureIgnoredWhileHeartbeatsSucceed lets a reader, or the node's own watch, fail
// while heartbeats are answered. If that counted as an outage, the next answer would count
// as its end, and upstreams that left just before would be retained.
func TestReadFailureIgnoredWhileHeartbeatsSucceed(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeatSuccess(at(0))
	if d.RecordReadFailure() || d.Unreachable() {
		t.Error("store unreachable, though a heartbeat was answered")
	}
	if d.RecordSuccess(at(0.5)) || !d.RecoveredAt().IsZero() {
		t.Error("store recovered, though it was never unreachable")
	}
}

// TestReadFailureCountsWithoutHeartbeats has a node whose heartbeats have not been answered
// yet, or no longer are.
func TestReadFailureCountsWithoutHeartbeats(t *testing.T) {
	for name, prepare := range map[string]func(*Detector){
		"before the first heartbeat": func(*Detector) {},
		"after a failed heartbeat":   func(d *Detector) { d.RecordHeartbeatSuccess(at(0)); d.RecordHeartbeatFailure(at(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDetector()
			prepare(d)
			if !d.RecordReadFailure() || d.RecordReadFailure() || !d.Unreachable() {
				t.Error("the first read failure, and no other, must start an outage")
			}
			if !d.RecordSuccess(at(3)) || d.Unreachable() || !d.RecoveredAt().Equal(at(3)) {
				t.Errorf("unreachable %v, recovered at %v", d.Unreachable(), d.RecoveredAt())
			}
		})
	}
}

// TestRecoveryTimeIsFirstSuccess has further calls answered after the one that ended the
// outage.
func TestRecoveryTimeIsFirstSuccess(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeatFailure(at(0))
	d.RecordReadFailure()
	d.RecordSuccess(at(5))
	if d.RecordHeartbeatSuccess(at(6)) || !d.RecoveredAt().Equal(at(5)) {
		t.Errorf("recovered at %v", d.RecoveredAt())
	}
}

// TestPeerReachableRecordsNoRecovery ends the unreachable state by a report of a peer, which
// sets no recovery time.
func TestPeerReachableRecordsNoRecovery(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeatFailure(at(0))
	d.RecordReadFailure()
	if !d.RecordPeerReachable() || d.Unreachable() || !d.RecoveredAt().IsZero() {
		t.Errorf("unreachable %v, recovered at %v", d.Unreachable(), d.RecoveredAt())
	}
	if d.RecordPeerReachable() {
		t.Error("a second report that the peer reaches the store counts as a change")
	}
}

// TestPeerRecovery lists which reported recoveries are adopted.
func TestPeerRecovery(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(*Detector)
		at      time.Time
		want    bool
	}{
		{"no heartbeat yet", func(*Detector) {}, at(5), true},
		{"heartbeats still fail", func(d *Detector) { d.RecordHeartbeatFailure(at(4)) }, at(5), true},
		{"heartbeats failed until just before", func(d *Detector) { d.RecordHeartbeatFailure(at(4)); d.RecordHeartbeatSuccess(at(5)) }, at(6), true},
		{"heartbeats were always answered", func(d *Detector) { d.RecordHeartbeatSuccess(at(4)) }, at(5), false},
		{"heartbeats failed long before", func(d *Detector) { d.RecordHeartbeatFailure(at(0)); d.RecordHeartbeatSuccess(at(1)) }, at(5), false},
		{
			"recovery known by an answer just before",
			func(d *Detector) {
				d.RecordHeartbeatFailure(at(3))
				d.RecordReadFailure()
				d.RecordHeartbeatSuccess(at(4.5))
			},
			at(5), false,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDetector()
			tt.prepare(d)
			if got := d.RecordPeerRecovery(tt.at); got != tt.want {
				t.Errorf("adopted: %v, want %v", got, tt.want)
			}
		})
	}
}
