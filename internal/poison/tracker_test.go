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

// at returns the time that is d after t0.
func at(d time.Duration) time.Time { return t0.Add(d) }

// keysOf returns the keys of a caller's request to a path.
func keysOf(path, caller string) Keys {
	r := Request{Method: "GET", Host: "a.example", Target: path, Caller: caller}
	return r.HeadKeys()
}

// fleet holds the Trackers of entries that receive each other's claims without loss.
type fleet []*Tracker

// newFleet returns a fleet of n entries.
func newFleet(n int) fleet {
	var f fleet
	for i := range n {
		f = append(f, NewTracker(fmt.Sprint("n", i)))
	}
	return f
}

// exchange delivers the due claims of every entry to every other one.
func (f fleet) exchange(now time.Time) {
	for from, t := range f {
		for _, c := range t.Claims(now, 1000, false) {
			for to, other := range f {
				if to != from {
					other.ApplyClaim(now, c)
				}
			}
		}
	}
}

// countHeld returns the number of entries that hold a request.
func (f fleet) countHeld(now time.Time, k Keys) int {
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

// checkHeld checks the number of entries that hold a request.
func (f fleet) checkHeld(t *testing.T, now time.Time, k Keys, want int) {
	t.Helper()
	if n := f.countHeld(now, k); n != want {
		t.Errorf("held at %d of %d entries, want %d", n, len(f), want)
	}
}

// TestHeldAtAllEntriesAfterThreeCrashes checks that a request which crashes three upstreams, each
// observed by another entry, is held at all entries.
func TestHeldAtAllEntriesAfterThreeCrashes(t *testing.T) {
	f, k := newFleet(5), keysOf("/deadly", "c")
	for i := range 3 {
		if n := f.countHeld(at(0), k); n != 0 {
			t.Fatalf("held at %d entries after %d crashes", n, i)
		}
		f[i].RecordCrash(at(0), k, k, uint32(i))
		f.exchange(at(0))
	}
	f.checkHeld(t, at(0), k, len(f))
	if n := f.countHeld(at(0), keysOf("/other", "c")); n != 0 {
		t.Errorf("another request is held at %d entries", n)
	}
	d := f[4].Begin(at(time.Second), k)
	if d.RetryAfter < firstHoldTime-time.Second || d.RetryAfter > firstHoldTime+maxHoldJitter {
		t.Errorf("retry after %v", d.RetryAfter)
	}
}

// TestOnePeerCannotHold checks that a request is not held because of the claims of a single peer
// about crashes and a hold that no other entry has observed.
func TestOnePeerCannotHold(t *testing.T) {
	f, k := newFleet(3), keysOf("/healthy", "c")
	forged := Claim{Key: k.AnyCaller, Head: k.AnyCaller, Source: 99, HoldRemaining: time.Hour}
	for i := range 4 {
		forged.Crashes = append(forged.Crashes, Crash{Upstream: uint32(i)})
	}
	for _, tr := range f {
		tr.ApplyClaim(at(0), forged)
	}
	f.exchange(at(0))
	if n := f.countHeld(at(0), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
	first := f[0].Begin(at(0), k)
	if second := f[0].Begin(at(0), k); first.Held || second.Held {
		t.Error("refused while another one is in flight")
	}
}

// TestResponseClears checks that a response clears the earlier crashes under a request. A request
// that many callers send is in flight at several upstreams when a failure domain is lost.
func TestResponseClears(t *testing.T) {
	f, k := newFleet(3), keysOf("/hot", "c")
	for i := range 2 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	f[2].RecordResponse(at(time.Second), k)
	f.exchange(at(time.Second))
	f[0].RecordCrash(at(responseTrustTime+2*time.Second), k, k, 7)
	f.exchange(at(responseTrustTime + 2*time.Second))
	if n := f.countHeld(at(responseTrustTime+2*time.Second), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestRecentResponseIsTrusted checks that a request with recent responses is not held when many
// upstreams at which it is in flight are lost at once.
func TestRecentResponseIsTrusted(t *testing.T) {
	f, k := newFleet(3), keysOf("/hot", "c")
	for _, tr := range f {
		tr.RecordResponse(at(-time.Second), k)
	}
	for i := range 9 {
		f[i%3].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	if n := f.countHeld(at(0), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestResponsesToOthersDoNotClearCaller checks that a caller whose requests crash upstreams is
// held although other callers of the same path receive responses.
func TestResponsesToOthersDoNotClearCaller(t *testing.T) {
	f, k, others := newFleet(3), keysOf("/same", "bad"), keysOf("/same", "good")
	for i := range 3 {
		f[i].RecordResponse(at(0), others)
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	f.checkHeld(t, at(0), k, len(f))
	if n := f.countHeld(at(0), others); n != 0 {
		t.Errorf("other callers are refused at %d entries", n)
	}
}

// TestOnlyOneCallerIsHeld checks that only the caller whose requests crash upstreams is held, even
// if there are no recent responses to other callers of the path.
func TestOnlyOneCallerIsHeld(t *testing.T) {
	f, k, others := newFleet(4), keysOf("/same", "bad"), keysOf("/same", "good")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	f.checkHeld(t, at(0), k, len(f))
	if n := f.countHeld(at(0), others); n != 0 {
		t.Errorf("other callers are refused at %d entries", n)
	}
}

// TestManyCallersOfOneRequest checks that a request is held for all callers if each crash was
// caused by another caller.
func TestManyCallersOfOneRequest(t *testing.T) {
	f := newFleet(4)
	for i := range 3 {
		k := keysOf("/deadly", fmt.Sprint("c", i))
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	f.checkHeld(t, at(0), keysOf("/deadly", "another"), len(f))
}

// TestCrashesOfHeldRequestCountAgainstNoOther checks that a request is not held because it was in
// flight at the upstreams that another, held request crashed.
func TestCrashesOfHeldRequestCountAgainstNoOther(t *testing.T) {
	f, deadly, bystander := newFleet(3), keysOf("/deadly", "c"), keysOf("/beside", "d")
	for i := range 3 {
		f[i].RecordCrash(at(0), deadly, deadly, uint32(i))
		f.exchange(at(0))
	}
	for i := range 3 {
		f[i].RecordCrash(at(0), bystander, bystander, uint32(i))
		f.exchange(at(0))
	}
	if n := f.countHeld(at(0), bystander); n != 0 {
		t.Errorf("held at %d entries", n)
	}
}

// TestBrokenConnectionsAreNotCrashes checks that a presumed crash is withdrawn if the upstream
// responds right after the connection broke.
func TestBrokenConnectionsAreNotCrashes(t *testing.T) {
	f, k := newFleet(3), keysOf("/x", "c")
	for i := range 6 {
		tr, now := f[i%3], at(time.Duration(i)*time.Second)
		tr.RecordCrash(now, k, k, uint32(i))
		tr.RecordAlive(now.Add(100*time.Millisecond), uint32(i), now.Add(10*time.Millisecond))
		f.exchange(now.Add(200 * time.Millisecond))
	}
	if n := f.countHeld(at(6*time.Second), k); n != 0 {
		t.Errorf("held at %d entries", n)
	}
	// A response to a request that was sent before the crash may arrive after it.
	for i := range 3 {
		f[i].RecordCrash(at(10*time.Second), k, k, uint32(10+i))
		f[i].RecordAlive(at(10*time.Second), uint32(10+i), at(9*time.Second))
	}
	f.exchange(at(10 * time.Second))
	f.checkHeld(t, at(10*time.Second), k, len(f))
}

// TestSuspectsAreSentOneAtATime checks that a request under which two upstreams crashed has no
// more than one attempt in flight.
func TestSuspectsAreSentOneAtATime(t *testing.T) {
	tr, k := NewTracker("n"), keysOf("/x", "c")
	if d := tr.RecordCrash(at(0), k, k, 1); d.Suspect || d.Held {
		t.Errorf("after one crash: %+v", d)
	}
	if d := tr.RecordCrash(at(0), k, k, 2); !d.Suspect || d.Held {
		t.Errorf("after two crashes: %+v", d)
	}
	if d := tr.Begin(at(0), k); d.Held {
		t.Error("the first attempt is refused")
	}
	if d := tr.Begin(at(0), k); !d.Held || d.RetryAfter != suspectRetryAfter {
		t.Errorf("while the first attempt is in flight: %+v", d)
	}
	tr.End(k)
	if d := tr.Begin(at(0), k); d.Held {
		t.Error("refused after the first attempt has finished")
	}
}

// TestNewEntryLearnsHolds checks that an entry that starts after all observers of the crashes are
// gone adopts the hold from the others.
func TestNewEntryLearnsHolds(t *testing.T) {
	f, k := newFleet(6), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	f = append(f[3:], NewTracker("new"))
	f.exchange(at(time.Minute))
	f.checkHeld(t, at(time.Minute), k, len(f))
	d := f[len(f)-1].Begin(at(time.Minute), k)
	if d.RetryAfter > firstHoldTime+maxHoldJitter-time.Minute {
		t.Errorf("the new entry holds the request for %v", d.RetryAfter)
	}
}

// TestHoldEndsAtOneEntryAfterAnother lets a hold expire. If the first entry that sends the request
// again observes a crash, all entries hold it again, for longer. A response ends the hold.
func TestHoldEndsAtOneEntryAfterAnother(t *testing.T) {
	f, k := newFleet(11), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	now := at(firstHoldTime)
	for f.countHeld(now, k) == len(f) {
		now = now.Add(200 * time.Millisecond)
		f.exchange(now)
	}
	if now.After(at(firstHoldTime + maxHoldJitter)) {
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
	f.exchange(now)
	if n := f.countHeld(now, k); sends > 2 || n != len(f) {
		t.Errorf("sent %d times, then held at %d of %d entries", sends, n, len(f))
	}
	now = now.Add(firstHoldTime + maxHoldJitter + time.Second)
	f.exchange(now)
	if n := f.countHeld(now, k); n != len(f) {
		t.Errorf("the second hold is no longer than the first: held at %d entries", n)
	}
	f[3].RecordResponse(now, k)
	f.exchange(now.Add(time.Millisecond))
	if n := f.countHeld(now.Add(time.Second), k); n != 0 {
		t.Errorf("held at %d entries after a response", n)
	}
}

// TestExpire checks that expired records leave no other state behind.
func TestExpire(t *testing.T) {
	f, k := newFleet(3), keysOf("/deadly", "c")
	for i := range 3 {
		f[i].RecordCrash(at(0), k, k, uint32(i))
	}
	f.exchange(at(0))
	for _, tr := range f {
		tr.Expire(at(time.Hour))
		if s := tr.Status(at(time.Hour)); s.Remembered != 0 || len(tr.heads) != 0 || len(tr.attributed) != 0 {
			t.Errorf("%+v, %d heads, %d attributed crashes", s, len(tr.heads), len(tr.attributed))
		}
	}
}

// TestMemoryIsBounded checks that a peer with claims about more requests than there are records
// cannot evict what this entry observed.
func TestMemoryIsBounded(t *testing.T) {
	tr, k := NewTracker("n"), keysOf("/deadly", "c")
	for i := range 3 {
		tr.RecordCrash(at(0), k, k, uint32(i))
	}
	for i := range 3 * maxRecords {
		tr.ApplyClaim(at(time.Second), Claim{Key: Key(i), Head: Key(i), Source: 5, Crashes: []Crash{{Upstream: 1}}})
	}
	if s := tr.Status(at(time.Second)); s.Remembered > maxRecords {
		t.Errorf("%d records", s.Remembered)
	}
	for i := range 3 * maxSources {
		tr.ApplyClaim(at(time.Second), Claim{Key: k.AnyCaller, Head: k.AnyCaller, Source: uint32(i), HoldRemaining: time.Hour})
	}
	if n := len(tr.records[k.AnyCaller].peerClaims); n > maxSources {
		t.Errorf("the claims of %d entries are stored", n)
	}
	if d := tr.Begin(at(time.Second), k); !d.Held {
		t.Error("the hold is lost")
	}
}

// TestBodyDistinguishesRequests checks that the keys of two uploads to one path differ by the
// prefixes of their bodies.
func TestBodyDistinguishesRequests(t *testing.T) {
	r := Request{Method: "POST", Host: "a", Target: "/x", Length: 3}
	head := r.HeadKeys()
	if head.WithBody([]byte("abc")) == head.WithBody([]byte("abd")) || head.WithBody(nil) != head {
		t.Error("different bodies have the same keys")
	}
	long := make([]byte, 2*MaxBodyPrefix)
	if head.WithBody(long) != head.WithBody(long[:MaxBodyPrefix]) {
		t.Error("bytes beyond the prefix change the keys")
	}
}

// TestNoHoldWithoutThreeCrashes checks over random histories that a request is held only if three
// upstreams crashed under it, with crashes observed by at least two entries or all at one, and
// that it is not held if the last event is a response.
func TestNoHoldWithoutThreeCrashes(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(params)
	properties.Property("held only after enough crashes", prop.ForAll(func(events []int) bool {
		f, k := newFleet(3), keysOf("/x", "c")
		crashed, observers := make(map[int]bool), make(map[int]bool)
		now, responded := t0, false
		for _, e := range events {
			now = now.Add(responseTrustTime + time.Second)
			node, upstream := e%3, e/3%5
			responded = e%7 == 0
			if responded {
				f[node].RecordResponse(now, k)
				clear(crashed)
				clear(observers)
			} else {
				f[node].RecordCrash(now, k, k, uint32(upstream))
				crashed[upstream], observers[node] = true, true
			}
			f.exchange(now.Add(time.Millisecond))
		}
		n := f.countHeld(now.Add(2*time.Millisecond), k)
		switch {
		case len(crashed) < holdThreshold || responded:
			return n == 0
		case len(observers) < quorum:
			return n == 1
		}
		return n == 3
	}, gen.SliceOfN(12, gen.IntRange(0, 104))))
	properties.TestingRun(t)
}

// TestRefutedCrashesEndHold has one of the upstreams whose connections broke respond right after a hold
// began: the hold ends.
func TestRefutedCrashesEndHold(t *testing.T) {
	tr, k := NewTracker("n"), keysOf("/x", "c")
	for u := range uint32(3) {
		tr.RecordCrash(at(0), k, k, u)
	}
	if d := tr.Begin(at(0), k); !d.Held {
		t.Fatal("not held after three crashes")
	}
	tr.RecordAlive(at(500*time.Millisecond), 1, at(400*time.Millisecond))
	if d := tr.Begin(at(time.Second), k); d.Held {
		t.Errorf("held although an upstream had not crashed: %+v", d)
	}
}

// TestWithdrawnCrashes withdraws crashes that an entry saw because of its own links: the hold of the
// request ends, also at a peer that was told of the crashes, and earlier crashes remain.
func TestWithdrawnCrashes(t *testing.T) {
	f := newFleet(2)
	k := keysOf("/x", "caller")
	f[0].RecordCrash(at(0), k, k, 1)
	for u := uint32(2); u <= 3; u++ {
		f[0].RecordCrash(at(time.Minute), k, k, u)
	}
	if d := f[0].Begin(at(time.Minute), k); !d.Held {
		t.Fatal("not held after three crashes")
	}
	f[0].WithdrawCrashes(at(time.Minute+time.Second), at(time.Minute))
	f.exchange(at(time.Minute + time.Second))
	f.checkHeld(t, at(time.Minute+time.Second), k, 0)
	f[0].RecordCrash(at(2*time.Minute), k, k, 4)
	f[0].RecordCrash(at(2*time.Minute), k, k, 5)
	if d := f[0].Begin(at(2*time.Minute), k); !d.Held {
		t.Error("the crash from before was withdrawn too")
	}
}
