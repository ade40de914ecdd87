package outage

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// judge returns a Judge whose heartbeats a second apart take up to a second.
func judge() *Detector { return New(Options{DetectionTime: 2 * time.Second}) }

// TestOwnHeartbeatsGoFirst lets a reader, or the own watch, fail while heartbeats are
// answered. Believed, the next answer would count as the return of the service, and what
// left just before would be kept.
func TestOwnHeartbeatsGoFirst(t *testing.T) {
	j := judge()
	j.RecordHeartbeatSuccess(at(0))
	if j.RecordReadFailure() || j.Unreachable() {
		t.Error("lost, though a heartbeat was answered")
	}
	if j.RecordSuccess(at(0.5)) || !j.RecoveredAt().IsZero() {
		t.Error("came back, though it was never away")
	}
}

// TestWithoutHeartbeatsPeersAreBelieved has an entry that has not yet, or not lately,
// been answered.
func TestWithoutHeartbeatsPeersAreBelieved(t *testing.T) {
	for name, prepare := range map[string]func(*Detector){
		"before the first":   func(*Detector) {},
		"after a failed one": func(j *Detector) { j.RecordHeartbeatSuccess(at(0)); j.RecordHeartbeatFailure(at(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			j := judge()
			prepare(j)
			if !j.RecordReadFailure() || j.RecordReadFailure() || !j.Unreachable() {
				t.Error("the first word of a loss is to count, and only that")
			}
			if !j.RecordSuccess(at(3)) || j.Unreachable() || !j.RecoveredAt().Equal(at(3)) {
				t.Errorf("lost %v, returned %v", j.Unreachable(), j.RecoveredAt())
			}
		})
	}
}

// TestReturnCountsFromTheFirstAnswer has more calls answered after the first.
func TestReturnCountsFromTheFirstAnswer(t *testing.T) {
	j := judge()
	j.RecordHeartbeatFailure(at(0))
	j.RecordReadFailure()
	j.RecordSuccess(at(5))
	if j.RecordHeartbeatSuccess(at(6)) || !j.RecoveredAt().Equal(at(5)) {
		t.Errorf("returned %v", j.RecoveredAt())
	}
}

func TestVouchedIsNoReturn(t *testing.T) {
	j := judge()
	j.RecordHeartbeatFailure(at(0))
	j.RecordReadFailure()
	if !j.RecordPeerReachable() || j.Unreachable() || !j.RecoveredAt().IsZero() {
		t.Errorf("lost %v, returned %v", j.Unreachable(), j.RecoveredAt())
	}
	if j.RecordPeerReachable() {
		t.Error("the same word twice is news")
	}
}

func TestReturnByAPeersWord(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(*Detector)
		at      time.Time
		want    bool
	}{
		{"no heartbeat yet", func(*Detector) {}, at(5), true},
		{"heartbeats still fail", func(j *Detector) { j.RecordHeartbeatFailure(at(4)) }, at(5), true},
		{"heartbeats failed until just before", func(j *Detector) { j.RecordHeartbeatFailure(at(4)); j.RecordHeartbeatSuccess(at(5)) }, at(6), true},
		{"heartbeats were always answered", func(j *Detector) { j.RecordHeartbeatSuccess(at(4)) }, at(5), false},
		{"heartbeats failed long before", func(j *Detector) { j.RecordHeartbeatFailure(at(0)); j.RecordHeartbeatSuccess(at(1)) }, at(5), false},
		{
			"known by an answer just before",
			func(j *Detector) {
				j.RecordHeartbeatFailure(at(3))
				j.RecordReadFailure()
				j.RecordHeartbeatSuccess(at(4.5))
			},
			at(5), false,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := judge()
			tt.prepare(j)
			if got := j.RecordPeerRecovery(tt.at); got != tt.want {
				t.Errorf("taken: %v, want %v", got, tt.want)
			}
		})
	}
}
