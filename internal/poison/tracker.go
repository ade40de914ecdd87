package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// heldAfter is how many upstreams must have ended under a request, with no answer to
	// it meanwhile, for it to be kept from others. One ends under whatever else was under
	// way there, and a caller that tries again may meet a second of a failure domain that
	// is lost.
	heldAfter = 3
	// suspectAfter is from how many on a request comes one at a time.
	suspectAfter = 2
	// quorum is how many entries must have seen such an end: the word of one alone,
	// mistaken or forged, turns no caller away. An entry that has seen all itself needs
	// no other.
	quorum = 2
	// crashFor is how long an end counts: callers that come back every few minutes are
	// found too.
	crashFor = 10 * time.Minute
	// trustAnswerFor is how long an answer speaks for the requests after it. What many callers
	// ask for is under way at most of the upstreams that are lost with a failure domain,
	// and has been answered all the time before.
	trustAnswerFor = 10 * time.Second
	// refuteWithin is within what time of an end an answer by the same upstream shows
	// that just the connection broke; upstreams take seconds to start again.
	refuteWithin = time.Second
	// holdFor is for how long a request is kept from upstreams after the last that ended.
	// It doubles each time that the next one ends under it too. It is how long callers of
	// a request are refused after a release has mended what it met.
	holdFor = 2 * time.Minute
	// longestHold bounds the doubling.
	longestHold = time.Hour
	// holdSpread is within what time after the hold the entries let the request through
	// again, each at a moment of its own: the first that tries it tells the others before
	// they do.
	holdSpread = 30 * time.Second
	// echoSlack is how much longer than nothing a hold that peers tell must have left to be
	// taken over: it is told with the time left, so that the way lengthens it, and two
	// entries would go on telling each other one that has ended.
	echoSlack = time.Second
	// maxRecords bounds the requests that are remembered. Some thirty are under way at an
	// upstream that ends; a region of a large fleet may lose dozens at once.
	maxRecords = 1024
	// maxSources bounds the entries whose claims about one request are remembered: many more
	// than it takes, and few enough that a hub which speaks for entries that do not exist
	// fills no memory.
	maxSources = 32
	// keepFor is how long a request is remembered after there is nothing against it any
	// more, so that peers hear of it.
	keepFor = 5 * time.Second
	// holdMemory is how long it is remembered after a hold that it was held.
	holdMemory = 10 * time.Minute
)

// Crash is an upstream that ended under a request.
type Crash struct {
	// Upstream names the life of the upstream; see balance.LifeKey.
	Upstream uint32
	// Age is how long ago it ended.
	Age time.Duration
}

// Claim is what one entry says of one request. Times are told as ages, since the clocks of
// entries differ.
type Claim struct {
	Key, Head Key
	// Source is the hash of the id of the entry that says it.
	Source uint32
	// Crashes are the last upstreams that ended under the request at that entry.
	Crashes []Crash
	// HoldRemaining is for how long that entry will keep it from upstreams, 0 if it does not, and
	// HoldAge since how long it has.
	HoldRemaining, HoldAge time.Duration
	// Answered is set if an upstream has answered it there, AnsweredAge how long ago.
	Answered    bool
	AnsweredAge time.Duration
}

// HashEntry returns the hash of an entry's id, which names it in reports.
func HashEntry(entry string) uint32 { return uint32(xxhash.Sum64String(entry)) }

// Decision is what to do with a request.
type Decision struct {
	// Held is set if it is to be refused, and RetryAfter when it may come back.
	Held       bool
	RetryAfter time.Duration
	// Suspect is set if upstreams ended under it, but not enough of them.
	Suspect bool
}

// Tracker remembers requests under which upstreams ended. It is safe for concurrent use.
type Tracker struct {
	self uint32

	mu      sync.Mutex
	records map[Key]*record
	// heads counts the records by their keys without the body.
	heads map[Key]int
	// explained names for each upstream that ended the held request under which it did.
	explained map[uint32]Key
	answered  recentKeys
	made      uint64
}

// record is what is known of one request.
type record struct {
	key, head Key
	// own are the upstreams that ended under it here, by when.
	own map[uint32]time.Time
	// peers is what the other entries said last.
	peers map[uint32]peerClaim
	// answered is when an upstream last answered it, anywhere; ownAnswer when one did here.
	answered, ownAnswer time.Time
	// heldSince and heldUntil bound the last hold.
	heldSince, heldUntil time.Time
	// holds is how often it was held.
	holds int
	// underWay is how many of them are at upstreams while it is suspect.
	underWay int
	changed  time.Time
	// fresh is in how many rounds the last change is still to be told, toldAt when the
	// request was last told of, claimed whether this entry ever said anything of it.
	fresh   int
	toldAt  time.Time
	claimed bool
	// order is that in which the records were made.
	order uint64
}

// NewTracker returns the Tracker of an entry.
func NewTracker(self string) *Tracker {
	return &Tracker{
		self: HashEntry(self), records: make(map[Key]*record), heads: make(map[Key]int),
		explained: make(map[uint32]Key), answered: newRecentKeys(),
	}
}

// HasRecord reports whether anything is held against a request with these keys without body,
// so that its body has to be looked at before it is sent.
func (t *Tracker) HasRecord(head Keys) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head.AnyCaller] > 0 || t.heads[head.Caller] > 0
}

// RecordCrash records that an upstream ended under a request. It reports what to do with the
// request now.
func (t *Tracker) RecordCrash(now time.Time, head, keys Keys, upstream uint32) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range keys.All() {
		if now.Sub(t.answered.at(key)) < trustAnswerFor {
			continue
		}
		r := t.record(now, head.All()[i], key)
		r.own[upstream] = now
		t.review(now, r)
	}
	return t.decide(now, keys)
}

// RecordResponse records that an upstream answered a request.
func (t *Tracker) RecordResponse(now time.Time, keys Keys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys.All() {
		t.answered.put(key, now)
		if r := t.records[key]; r != nil {
			r.ownAnswer = now
			t.clear(now, r, now)
		}
	}
}

// RecordAlive records that an upstream answered a request that was sent to it at a time. An end
// just before was none: its connection broke.
func (t *Tracker) RecordAlive(now time.Time, upstream uint32, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		at, ok := r.own[upstream]
		if ok && sent.After(at) && now.Sub(at) < refuteWithin {
			delete(r.own, upstream)
			t.review(now, r)
		}
	}
}

// Begin decides on a request before it goes to an upstream. If it may, End must be called
// when it has come back.
func (t *Tracker) Begin(now time.Time, keys Keys) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(now, keys)
	if d.Suspect && !d.Held && t.busy(keys) {
		d.Held, d.RetryAfter = true, suspectRetry
	}
	if d.Held {
		return d
	}
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil {
			r.underWay++
		}
	}
	return d
}

// End records that a request which Begin let through has come back.
func (t *Tracker) End(keys Keys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil && r.underWay > 0 {
			r.underWay--
		}
	}
}

// suspectRetry is when a request may come back of which another try is under way: work
// seldom takes longer, and the end of an upstream is known at once.
const suspectRetry = time.Second

// decide says what to do with a request. The caller holds the lock.
func (t *Tracker) decide(now time.Time, keys Keys) Decision {
	var d Decision
	for _, key := range keys.All() {
		r := t.records[key]
		if r == nil {
			continue
		}
		switch {
		case now.Before(r.heldUntil):
			d.Held = true
			d.RetryAfter = max(d.RetryAfter, r.heldUntil.Sub(now))
		case len(r.own) > 0 && len(t.crashes(now, r)) >= suspectAfter:
			d.Suspect = true
		}
	}
	return d
}

// busy reports whether a request with one of the keys is at an upstream. The caller holds
// the lock.
func (t *Tracker) busy(keys Keys) bool {
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil && r.underWay > 0 {
			return true
		}
	}
	return false
}

// record returns the record of a request, or makes one. The caller holds the lock.
func (t *Tracker) record(now time.Time, head, key Key) *record {
	r := t.records[key]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.drop(t.least(now))
	}
	r = &record{key: key, head: head, own: make(map[uint32]time.Time), peers: make(map[uint32]peerClaim), changed: now}
	t.made++
	r.order = t.made
	t.records[key] = r
	t.heads[head]++
	return r
}

func (t *Tracker) drop(r *record) {
	delete(t.records, r.key)
	if t.heads[r.head]--; t.heads[r.head] <= 0 {
		delete(t.heads, r.head)
	}
}

// least returns the record to give up for another: of those that only peers spoke of, or
// of all if there is none, the one that changed longest ago. So a peer that speaks of
// many requests cannot push out what was seen here.
func (t *Tracker) least(now time.Time) *record {
	var least *record
	for _, r := range t.records {
		if least == nil || r.worth(now) < least.worth(now) || r.worth(now) == least.worth(now) && r.changed.Before(least.changed) {
			least = r
		}
	}
	return least
}

// worth ranks records: those that are held come before those with own crashes.
func (r *record) worth(now time.Time) int {
	switch {
	case now.Before(r.heldUntil):
		return 2
	case len(r.own) > 0:
		return 1
	}
	return 0
}

// clear drops what speaks against a request from before an answer to it.
func (t *Tracker) clear(now time.Time, r *record, answered time.Time) {
	if !answered.After(r.answered) {
		return
	}
	r.answered = answered
	for upstream, at := range r.own {
		if !at.After(answered) {
			delete(r.own, upstream)
		}
	}
	r.heldSince, r.heldUntil, r.holds = time.Time{}, time.Time{}, 0
	for upstream, by := range t.explained {
		if by == r.key {
			delete(t.explained, upstream)
		}
	}
	r.news(now)
}

// Expire drops the requests that nothing speaks against any more. It is called every now
// and then.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		keep := keepFor
		if r.holds > 0 {
			keep = holdMemory
		}
		if now.Before(r.heldUntil) || len(t.crashes(now, r)) > 0 || now.Sub(latest(r.changed, r.heldUntil)) < keep {
			continue
		}
		t.drop(r)
	}
	for upstream, by := range t.explained {
		if t.records[by] == nil {
			delete(t.explained, upstream)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Status is what is known of requests under which upstreams ended, for dumps and metrics.
type Status struct {
	// Remembered are all of them, Held those that are refused.
	Remembered int `json:"remembered"`
	Held       int `json:"held"`
}

// Status returns how many requests are remembered and held.
func (t *Tracker) Status(now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Remembered: len(t.records)}
	for _, r := range t.records {
		if now.Before(r.heldUntil) {
			s.Held++
		}
	}
	return s
}
