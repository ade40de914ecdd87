package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

// keysOf returns the keys of a request to a path by a caller.
func keysOf(path, caller string) Keys {
	r := Request{Method: "GET", Host: "a.example", Target: path, Caller: caller}
	return r.HeadKeys()
}

// fleet is entries that hear all that the others say.
type fleet []*Tracker

func newFleet(n int) fleet {
	var f fleet
	for i := range n {
		f = append(f, NewTracker(fmt.Sprint("n", i)))
	}
	return f
}

// talk has every entry tell every other one, as often as it takes to tell all.
func (f fleet) talk(now time.Time) {
	for from, t := range f {
		for _, w := range t.Claims(now, 1000, false) {
			for to, other := range f {
				if to != from {
					other.HandleClaim(now, w)
				}
			}
		}
	}
}

func (f fleet) held(now time.Time, k Keys) int {
	n := 0
	for _, t := range f {
		if d := t.Begin(now, k); d.Held {
			n++
			continue
		}
		t.End(k)
	}
	return n
}

// expectHeld checks at how many entries a request is held.
func (f fleet) expectHeld(t *testing.T, now time.Time, k Keys, want int) {
	t.Helper()
	if n := f.held(now, k); n != want {
		t.Errorf("held at %d of %d entries, want %d", n, len(f), want)
	}
}

// TestHeldEverywhereAfterThree has upstreams end under one request at different entries.
func TestHeldEverywhereAfterThree(t *testing.T) {
	f, k := newFleet(5), keysOf("/deadly", "c")
	for i := range 3 {
		if n := f.held(at(0), k); n != 0 {
			t.Fatalf("held at %d entries after %d", n, i)
		}
		f[i].RecordCrash(at(0), k, k, uint32(i))
		f.talk(at(0))
	}
	f.expectHeld(t, at(0), k, len(f))
	if n := f.held(at(0), keysOf("/other", "c")); n != 0 {
		t.Errorf("another request is held at %d entries", n)
	}
	d := f[4].Begin(at(time.Second), k)
	if d.RetryAfter < holdFor-time.Second || d.RetryAfter > holdFor+holdSpread {
		t.Errorf("to come back in %v", d.RetryAfter)
	}
}

// TestOnePeersClaimHoldsNothing has a peer claim that upstreams ended, and that it holds a
// request, which others have never seen fail.
func TestOnePeersClaimHoldsNothing(t *testing.T) {
	f, k := newFleet(3), keysOf("/healthy", "c")
	forged := Claim{Key: k.AnyCaller, Head: k.AnyCaller, Source: 99, HoldRemaining: time.Hour}
	for i := range 4 {
		forged.Crashes = append(forged.Crashes, Crash{Upstream: uint32(i)})
	}
	for _, tr := range f {
		tr.HandleClaim(at(0), forged)
	}
	f.talk(at(0))
	if n := f.held(at(0), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
	busy := f[0].Begin(at(0), k)
	if second := f[0].Begin(at(0), k); busy.Held || second.Held {
		t.Error("not served while another is under way")
	}
}

// TestAnswerClears has a request answered after it was under way at upstreams that ended,
// as one that many callers send while a failure domain is lost.
func TestAnswerClears(t *testing.T) {
	f, k := newFleet(3), keysOf("/hot", "c")
	for i := range 2 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	f[2].RecordResponse(at(time.Second), k)
	f.talk(at(time.Second))
	f[0].RecordCrash(at(trustAnswerFor+2*time.Second), k, k, 7)
	f.talk(at(trustAnswerFor + 2*time.Second))
	if n := f.held(at(trustAnswerFor+2*time.Second), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestRecentAnswerIsTrusted has a request that is answered all the time be under way at
// many upstreams that are lost at once.
func TestRecentAnswerIsTrusted(t *testing.T) {
	f, k := newFleet(3), keysOf("/hot", "c")
	for _, tr := range f {
		tr.RecordResponse(at(-time.Second), k)
	}
	for i := range 9 {
		f[i%3].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	if n := f.held(at(0), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestOthersAnswersDoNotClearACaller has all but one caller of a path be served.
func TestOthersAnswersDoNotClearACaller(t *testing.T) {
	f, k, others := newFleet(3), keysOf("/same", "bad"), keysOf("/same", "good")
	for i := range 3 {
		f[i].RecordResponse(at(0), others)
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	f.expectHeld(t, at(0), k, len(f))
	if n := f.held(at(0), others); n != 0 {
		t.Errorf("others are refused at %d entries", n)
	}
}

// TestACallerIsHeldAlone has one caller's requests to a path end upstreams, which others
// ask for so seldom that no answer vouches for them.
func TestACallerIsHeldAlone(t *testing.T) {
	f, k, others := newFleet(4), keysOf("/same", "bad"), keysOf("/same", "good")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	f.expectHeld(t, at(0), k, len(f))
	if n := f.held(at(0), others); n != 0 {
		t.Errorf("others are refused at %d entries", n)
	}
}

// TestManyCallersOfOneRequest has each end made by another caller.
func TestManyCallersOfOneRequest(t *testing.T) {
	f := newFleet(4)
	for i := range 3 {
		k := keysOf("/deadly", fmt.Sprint("c", i))
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	f.expectHeld(t, at(0), keysOf("/deadly", "another"), len(f))
}

// TestEndsUnderAHeldRequestCountAgainstNoOther has requests under way beside one that
// ends upstream after upstream.
func TestEndsUnderAHeldRequestCountAgainstNoOther(t *testing.T) {
	f, deadly, beside := newFleet(3), keysOf("/deadly", "c"), keysOf("/beside", "d")
	for i := range 3 {
		f[i].RecordCrash(at(0), deadly, deadly, uint32(i))
		f.talk(at(0))
	}
	for i := range 3 {
		f[i].RecordCrash(at(0), beside, beside, uint32(i))
		f.talk(at(0))
	}
	if n := f.held(at(0), beside); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestBrokenConnectionsAreNoEnds has upstreams answer right after a connection broke.
func TestBrokenConnectionsAreNoEnds(t *testing.T) {
	f, k := newFleet(3), keysOf("/x", "c")
	for i := range 6 {
		tr, now := f[i%3], at(time.Duration(i)*time.Second)
		tr.RecordCrash(now, k, k, uint32(i))
		tr.RecordAlive(now.Add(100*time.Millisecond), uint32(i), now.Add(10*time.Millisecond))
		f.talk(now.Add(200 * time.Millisecond))
	}
	if n := f.held(at(6*time.Second), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
	// An answer to what was sent before the end may come after it.
	for i := range 3 {
		f[i].RecordCrash(at(10*time.Second), k, k, uint32(10+i))
		f[i].RecordAlive(at(10*time.Second), uint32(10+i), at(9*time.Second))
	}
	f.talk(at(10 * time.Second))
	f.expectHeld(t, at(10*time.Second), k, len(f))
}

// TestSuspectsComeOneAtATime has two upstreams end under a request.
func TestSuspectsComeOneAtATime(t *testing.T) {
	tr, k := NewTracker("n"), keysOf("/x", "c")
	if d := tr.RecordCrash(at(0), k, k, 1); d.Suspect || d.Held {
		t.Errorf("after one: %+v", d)
	}
	if d := tr.RecordCrash(at(0), k, k, 2); !d.Suspect || d.Held {
		t.Errorf("after two: %+v", d)
	}
	if d := tr.Begin(at(0), k); d.Held {
		t.Error("the first is refused")
	}
	if d := tr.Begin(at(0), k); !d.Held || d.RetryAfter != suspectRetry {
		t.Errorf("beside the first: %+v", d)
	}
	tr.End(k)
	if d := tr.Begin(at(0), k); d.Held {
		t.Error("refused after the first")
	}
}

// TestNewcomerLearnsWhatHolds starts an entry after all that saw the ends are gone.
func TestNewcomerLearnsWhatHolds(t *testing.T) {
	f, k := newFleet(6), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	f = append(f[3:], NewTracker("new"))
	f.talk(at(time.Minute))
	f.expectHeld(t, at(time.Minute), k, len(f))
	d := f[len(f)-1].Begin(at(time.Minute), k)
	if d.RetryAfter > holdFor+holdSpread-time.Minute {
		t.Errorf("the newcomer holds it for %v", d.RetryAfter)
	}
}

// TestHoldEndsAtOneEntryAfterTheOther lets a hold run out: the first entry that tries the
// request again has all others hold it anew, for longer; an answer ends that.
func TestHoldEndsAtOneEntryAfterTheOther(t *testing.T) {
	f, k := newFleet(11), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	now := at(holdFor)
	for f.held(now, k) == len(f) {
		now = now.Add(200 * time.Millisecond)
		f.talk(now)
	}
	if now.After(at(holdFor + holdSpread)) {
		t.Fatalf("held for %v", now.Sub(t0))
	}
	sends := 0
	for i, tr := range f {
		if d := tr.Begin(now, k); !d.Held {
			sends++
			tr.RecordCrash(now, k, k, uint32(100+i))
			tr.End(k)
		}
	}
	f.talk(now)
	if n := f.held(now, k); sends > 2 || n != len(f) {
		t.Errorf("%d sends, then held at %d of %d entries", sends, n, len(f))
	}
	now = now.Add(holdFor + holdSpread + time.Second)
	f.talk(now)
	if n := f.held(now, k); n != len(f) {
		t.Errorf("the second hold is no longer than the first: held at %d", n)
	}
	f[3].RecordResponse(now, k)
	f.talk(now.Add(time.Millisecond))
	if n := f.held(now.Add(time.Second), k); n != 0 {
		t.Errorf("held at %d entries after an answer", n)
	}
}

// TestForgotten drops records, and all of their traces.
func TestForgotten(t *testing.T) {
	f, k := newFleet(3), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.talk(at(0))
	for _, tr := range f {
		tr.Expire(at(time.Hour))
		if s := tr.Status(at(time.Hour)); s.Remembered != 0 || len(tr.heads) != 0 || len(tr.explained) != 0 {
			t.Errorf("%+v, %d heads, %d explained", s, len(tr.heads), len(tr.explained))
		}
	}
}

// TestBounded has a peer speak of more requests than are remembered: what was seen here
// stays.
func TestBounded(t *testing.T) {
	tr, k := NewTracker("n"), keysOf("/deadly", "c")
	for i := range 3 {
		tr.RecordCrash(at(0), k, k, uint32(i))
	}
	for i := range 3 * maxRecords {
		tr.HandleClaim(at(time.Second), Claim{Key: Key(i), Head: Key(i), Source: 5, Crashes: []Crash{{Upstream: 1}}})
	}
	if s := tr.Status(at(time.Second)); s.Remembered > maxRecords {
		t.Errorf("%d remembered", s.Remembered)
	}
	for i := range 3 * maxSources {
		tr.HandleClaim(at(time.Second), Claim{Key: k.AnyCaller, Head: k.AnyCaller, Source: uint32(i), HoldRemaining: time.Hour})
	}
	if n := len(tr.records[k.AnyCaller].peers); n > maxSources {
		t.Errorf("the claims of %d entries are remembered", n)
	}
	if d := tr.Begin(at(time.Second), k); !d.Held {
		t.Error("what was held is forgotten")
	}
}

// TestBodyTellsRequestsApart has two uploads to one path.
func TestBodyTellsRequestsApart(t *testing.T) {
	r := Request{Method: "POST", Host: "a", Target: "/x", Length: 3}
	head := r.HeadKeys()
	if head.WithBody([]byte("abc")) == head.WithBody([]byte("abd")) || head.WithBody(nil) != head {
		t.Error("bodies are not told apart")
	}
	long := make([]byte, 2*MaxBodyPrefix)
	if head.WithBody(long) != head.WithBody(long[:MaxBodyPrefix]) {
		t.Error("more than the prefix counts")
	}
}

// TestNoHoldWithoutThreeEnds checks over random histories that a request is held only if
// that many upstreams ended under it, as seen by two entries or all at one, and that none
// is held whose last event is an answer.
func TestNoHoldWithoutThreeEnds(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(params)
	properties.Property("held only with cause", prop.ForAll(func(events []int) bool {
		f, k := newFleet(3), keysOf("/x", "c")
		ended, saw := make(map[int]bool), make(map[int]bool)
		now, lastAnswer := t0, false
		for _, e := range events {
			now = now.Add(trustAnswerFor + time.Second)
			node, upstream := e%3, e/3%5
			lastAnswer = e%7 == 0
			if lastAnswer {
				f[node].RecordResponse(now, k)
				clear(ended)
				clear(saw)
			} else {
				f[node].RecordCrash(now, k, k, uint32(upstream))
				ended[upstream], saw[node] = true, true
			}
			f.talk(now.Add(time.Millisecond))
		}
		n := f.held(now.Add(2*time.Millisecond), k)
		switch {
		case len(ended) < heldAfter || lastAnswer:
			return n == 0
		case len(saw) < quorum:
			return n == 1
		}
		return n == 3
	}, gen.SliceOfN(12, gen.IntRange(0, 104))))
	properties.TestingRun(t)
}
