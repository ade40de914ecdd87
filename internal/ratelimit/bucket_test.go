package ratelimit

import (
	"testing"
	"time"
)

// sharers are the senders of an upstream by their ids, first is the one under test.
var sharers = []string{"first", "second", "third", "fourth"}

// sharing returns a bucket of one of four senders, of whom all others are heard.
func sharing(perSecond float64) *Bucket {
	b := NewBucket(t0)
	b.SetRate(perSecond, t0)
	b.SetSenders("first", sharers, t0)
	return b
}

// hearAll has all others tell what they have sent.
func hearAll(b *Bucket, sent uint32, now time.Time) {
	for _, id := range sharers[1:] {
		b.RecordPeerSent(id, 1, sent, now)
	}
}

// sends counts what a bucket lets through in a span in which callers ask all the time.
func sends(b *Bucket, from, to int, each func(now time.Time)) (n int) {
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

func TestBucketBeginsEmpty(t *testing.T) {
	b := sharing(4)
	if w := b.Wait(t0); w < 200*time.Millisecond || w > 300*time.Millisecond {
		t.Errorf("the first request at a limit of 4 a second may go after %v", w)
	}
}

func TestSendersTakeOffWhatOthersSent(t *testing.T) {
	b := sharing(10)
	hearAll(b, 0, t0)
	alone := sends(b, 0, 4000, func(now time.Time) { hearAll(b, 0, now) })
	if alone < 38 || alone > 43 {
		t.Errorf("%d requests in 4 s at a limit of 10 a second while the others send nothing", alone)
	}
	sent := uint32(0)
	shared := sends(b, 4000, 8000, func(now time.Time) {
		if ms := now.Sub(t0).Milliseconds(); ms%500 == 0 {
			sent++
		}
		hearAll(b, sent, now)
	})
	if shared < 14 || shared > 18 {
		t.Errorf("%d requests in 4 s while the others send 24 of 40", shared)
	}
}

// TestSilentSendersKeepTheirPart has three of four senders fall silent: what they may send is
// left to them from their last word on.
func TestSilentSendersKeepTheirPart(t *testing.T) {
	b := sharing(10)
	hearAll(b, 0, t0)
	if n := sends(b, 0, 8000, nil); n < 17 || n > 20+3 {
		t.Errorf("%d requests in 8 s by one of four senders at a limit of 10 a second", n)
	}
	// Back, they have sent just their parts: nothing is taken off for that.
	level := b.Level(at(8000))
	hearAll(b, 20, at(8000))
	if got := b.Level(at(8000)); got < level-0.5 {
		t.Errorf("level %v, %v before the others told that they sent their parts", got, level)
	}
}

func TestOvertakenAndRepeatedCountsTakeOffOnce(t *testing.T) {
	b := sharing(10)
	hearAll(b, 0, t0)
	level := b.Level(at(100))
	b.RecordPeerSent("second", 1, 2, at(100))
	b.RecordPeerSent("second", 1, 1, at(100))
	b.RecordPeerSent("second", 1, 2, at(100))
	if got := b.Level(at(100)); got != level-2 {
		t.Errorf("level %v, want %v", got, level-2)
	}
	b.RecordPeerSent("second", 2, 1, at(100))
	if got := b.Level(at(100)); got != level-3 {
		t.Errorf("level %v after one request of the next life, want %v", got, level-3)
	}
	b.RecordPeerSent("second", 1, 9, at(100))
	if got := b.Level(at(100)); got != level-3 {
		t.Errorf("level %v after a late word of the life before, want %v", got, level-3)
	}
}

func TestNoSenderNeverSends(t *testing.T) {
	b := NewBucket(t0)
	b.SetRate(1000, t0)
	b.SetSenders("fifth", sharers, t0)
	if b.IsSender() || sends(b, 0, 5000, nil) > 0 {
		t.Error("an entry that is no sender sends")
	}
}

// TestTrickle has an upstream that takes nothing asked now and then whether that has ended.
func TestTrickle(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05} {
		b := sharing(perSecond)
		n := sends(b, 0, 60_000, func(now time.Time) { hearAll(b, 0, now) })
		if n < 14 || n > 17 {
			t.Errorf("%d requests in a minute at a limit of %v a second", n, perSecond)
		}
	}
}

// TestPauseEarnsNothing has an entry stand still: it does not come back with what a full pause
// would have filled the bucket with.
func TestPauseEarnsNothing(t *testing.T) {
	b := sharing(1)
	hearAll(b, 0, t0)
	b.Spend(t0)
	b.Spend(t0)
	if got := b.Level(at(60_000)); got > 0 {
		t.Errorf("level %v after a minute in which nothing was heard", got)
	}
}

func TestRefusedCallersComeBackOneByOne(t *testing.T) {
	b := sharing(2)
	hearAll(b, 0, t0)
	last := time.Duration(-1)
	for range 5 {
		wait := b.RetryAfter(b.Wait(t0), t0)
		if wait <= last {
			t.Errorf("told to come back after %v, the one before after %v", wait, last)
		}
		last = wait
	}
	for range 100 {
		if wait := b.RetryAfter(b.Wait(t0), t0); wait > maxRetry {
			t.Fatalf("told to come back after %v", wait)
		}
	}
}
