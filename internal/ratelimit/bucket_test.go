package ratelimit

import (
	"testing"
	"time"
)

// senders are the IDs of the senders of an upstream; the bucket under test belongs to first.
var senders = []string{"first", "second", "third", "fourth"}

// newSharedBucket returns the bucket of the first of four senders.
func newSharedBucket(perSecond float64) *Bucket {
	b := NewBucket(t0)
	b.SetRate(perSecond, t0)
	b.SetSenders("first", senders, t0)
	return b
}

// recordAllPeers reports the same count of sent requests for each of the other senders.
func recordAllPeers(b *Bucket, sent uint32, now time.Time) {
	for _, id := range senders[1:] {
		b.RecordPeerSent(id, 1, sent, now)
	}
}

// countSent returns how many requests a bucket lets through between two times in milliseconds,
// with a request waiting at every step of 10 ms. each, if set, is called before each step.
func countSent(b *Bucket, from, to int, each func(now time.Time)) (n int) {
	for ms := from; ms < to; ms += 10 {
		if each != nil {
			each(at(ms))
		}
		if b.Wait(at(ms)) == 0 {
			b.Spend(at(ms))
			n++
		}
	}
	return n
}

func TestBucketStartsEmpty(t *testing.T) {
	b := newSharedBucket(4)
	if w := b.Wait(t0); w < 200*time.Millisecond || w > 300*time.Millisecond {
		t.Errorf("wait for the first request at a limit of 4 per second: %v, want 200ms to 300ms", w)
	}
}

func TestPeerRequestsAreTakenOff(t *testing.T) {
	b := newSharedBucket(10)
	recordAllPeers(b, 0, t0)
	alone := countSent(b, 0, 4000, func(now time.Time) { recordAllPeers(b, 0, now) })
	if alone < 38 || alone > 43 {
		t.Errorf("%d requests in 4 s at a limit of 10 per second while the others send nothing", alone)
	}
	sent := uint32(0)
	shared := countSent(b, 4000, 8000, func(now time.Time) {
		if ms := now.Sub(t0).Milliseconds(); ms%500 == 0 {
			sent++
		}
		recordAllPeers(b, sent, now)
	})
	if shared < 14 || shared > 18 {
		t.Errorf("%d requests in 4 s while the others send 24 of 40", shared)
	}
}

// TestUnreachableSendersKeepTheirShare checks that the share of three unreachable senders of four
// is reserved for them from their last message on.
func TestUnreachableSendersKeepTheirShare(t *testing.T) {
	b := newSharedBucket(10)
	recordAllPeers(b, 0, t0)
	if n := countSent(b, 0, 8000, nil); n < 17 || n > 20+3 {
		t.Errorf("%d requests in 8 s by one of four senders at a limit of 10 per second", n)
	}
	// Once reachable again, they have sent no more than their shares: nothing is taken off.
	level := b.Level(at(8000))
	recordAllPeers(b, 20, at(8000))
	if got := b.Level(at(8000)); got < level-0.5 {
		t.Errorf("level %v, want %v as before the others reported that they sent their shares", got, level)
	}
}

func TestOvertakenAndRepeatedCountsAreTakenOffOnce(t *testing.T) {
	b := newSharedBucket(10)
	recordAllPeers(b, 0, t0)
	level := b.Level(at(100))
	b.RecordPeerSent("second", 1, 2, at(100))
	b.RecordPeerSent("second", 1, 1, at(100))
	b.RecordPeerSent("second", 1, 2, at(100))
	if got := b.Level(at(100)); got != level-2 {
		t.Errorf("level %v, want %v", got, level-2)
	}
	b.RecordPeerSent("second", 2, 1, at(100))
	if got := b.Level(at(100)); got != level-3 {
		t.Errorf("level %v after one request of the next incarnation, want %v", got, level-3)
	}
	b.RecordPeerSent("second", 1, 9, at(100))
	if got := b.Level(at(100)); got != level-3 {
		t.Errorf("level %v after a late count of the previous incarnation, want %v", got, level-3)
	}
}

func TestOnlySendersSend(t *testing.T) {
	b := NewBucket(t0)
	b.SetRate(1000, t0)
	b.SetSenders("fifth", senders, t0)
	if b.IsSender() || countSent(b, 0, 5000, nil) > 0 {
		t.Error("an entry that is not a sender sends")
	}
}

// TestMinimumRate checks that an upstream with a limit of zero or nearly zero still receives a
// request now and then, whose response can announce that the limit has ended.
func TestMinimumRate(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05} {
		b := newSharedBucket(perSecond)
		n := countSent(b, 0, 60_000, func(now time.Time) { recordAllPeers(b, 0, now) })
		if n < 14 || n > 17 {
			t.Errorf("%d requests in a minute at a limit of %v per second", n, perSecond)
		}
	}
}

// TestSuspensionIsNotRefilled checks that an entry which was suspended does not refill its bucket
// for the whole time of the suspension.
func TestSuspensionIsNotRefilled(t *testing.T) {
	b := newSharedBucket(1)
	recordAllPeers(b, 0, t0)
	b.Spend(t0)
	b.Spend(t0)
	if got := b.Level(at(60_000)); got > 0 {
		t.Errorf("level %v after a suspension of a minute", got)
	}
}

func TestRetriesAreSpaced(t *testing.T) {
	b := newSharedBucket(2)
	recordAllPeers(b, 0, t0)
	last := time.Duration(-1)
	for range 5 {
		wait := b.RetryAfter(b.Wait(t0), t0)
		if wait <= last {
			t.Errorf("retry after %v, not later than the previous caller's %v", wait, last)
		}
		last = wait
	}
	for range 100 {
		if wait := b.RetryAfter(b.Wait(t0), t0); wait > maxRetryAfter {
			t.Fatalf("retry after %v, more than maxRetryAfter", wait)
		}
	}
}
