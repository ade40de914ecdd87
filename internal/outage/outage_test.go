package outage

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

// judge returns a Judge whose heartbeats a second apart take up to a second.
func judge() *Judge { return New(Options{Notice: 2 * time.Second}) }

// TestOwnHeartbeatsGoFirst lets a reader, or the own watch, fail while heartbeats are
// answered. Believed, the next answer would count as the return of the service, and what
// left just before would be kept.
func TestOwnHeartbeatsGoFirst(t *testing.T) {
	j := judge()
	j.HeartbeatAnswered(at(0))
	if j.Failed() || j.Lost() {
		t.Error("lost, though a heartbeat was answered")
	}
	if j.Answered(at(0.5)) || !j.Returned().IsZero() {
		t.Error("came back, though it was never away")
	}
}

// TestWithoutHeartbeatsPeersAreBelieved has an entry that has not yet, or not lately,
// been answered.
func TestWithoutHeartbeatsPeersAreBelieved(t *testing.T) {
	for name, prepare := range map[string]func(*Judge){
		"before the first":   func(*Judge) {},
		"after a failed one": func(j *Judge) { j.HeartbeatAnswered(at(0)); j.HeartbeatFailed(at(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			j := judge()
			prepare(j)
			if !j.Failed() || j.Failed() || !j.Lost() {
				t.Error("the first word of a loss is to count, and only that")
			}
			if !j.Answered(at(3)) || j.Lost() || !j.Returned().Equal(at(3)) {
				t.Errorf("lost %v, returned %v", j.Lost(), j.Returned())
			}
		})
	}
}

// TestReturnCountsFromTheFirstAnswer has more calls answered after the first.
func TestReturnCountsFromTheFirstAnswer(t *testing.T) {
	j := judge()
	j.HeartbeatFailed(at(0))
	j.Failed()
	j.Answered(at(5))
	if j.HeartbeatAnswered(at(6)) || !j.Returned().Equal(at(5)) {
		t.Errorf("returned %v", j.Returned())
	}
}

func TestVouchedIsNoReturn(t *testing.T) {
	j := judge()
	j.HeartbeatFailed(at(0))
	j.Failed()
	if !j.Vouched() || j.Lost() || !j.Returned().IsZero() {
		t.Errorf("lost %v, returned %v", j.Lost(), j.Returned())
	}
	if j.Vouched() {
		t.Error("the same word twice is news")
	}
}

func TestReturnByAPeersWord(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(*Judge)
		at      time.Time
		want    bool
	}{
		{"no heartbeat yet", func(*Judge) {}, at(5), true},
		{"heartbeats still fail", func(j *Judge) { j.HeartbeatFailed(at(4)) }, at(5), true},
		{"heartbeats failed until just before", func(j *Judge) { j.HeartbeatFailed(at(4)); j.HeartbeatAnswered(at(5)) }, at(6), true},
		{"heartbeats were always answered", func(j *Judge) { j.HeartbeatAnswered(at(4)) }, at(5), false},
		{"heartbeats failed long before", func(j *Judge) { j.HeartbeatFailed(at(0)); j.HeartbeatAnswered(at(1)) }, at(5), false},
		{
			"known by an answer just before",
			func(j *Judge) { j.HeartbeatFailed(at(3)); j.Failed(); j.HeartbeatAnswered(at(4.5)) },
			at(5), false,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			j := judge()
			tt.prepare(j)
			if got := j.PeerReturned(tt.at); got != tt.want {
				t.Errorf("taken: %v, want %v", got, tt.want)
			}
		})
	}
}
