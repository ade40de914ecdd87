package poison

import (
	"encoding/binary"
	"slices"
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
	// voters is how many entries must have seen such an end: the word of one alone,
	// mistaken or forged, turns no caller away. An entry that has seen all itself needs
	// no other.
	voters = 2
	// strikeFor is how long an end counts: callers that come back every few minutes are
	// found too.
	strikeFor = 10 * time.Minute
	// vouchFor is how long an answer speaks for the requests after it. What many callers
	// ask for is under way at most of the upstreams that are lost with a failure domain,
	// and has been answered all the time before.
	vouchFor = 10 * time.Second
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
	// maxVoters bounds the entries whose words about one request are remembered: many more
	// than it takes, and few enough that a hub which speaks for entries that do not exist
	// fills no memory.
	maxVoters = 32
	// keepFor is how long a request is remembered after there is nothing against it any
	// more, so that peers hear of it.
	keepFor = 5 * time.Second
	// parolePeriod is how long it is remembered after a hold that it was held.
	parolePeriod = 10 * time.Minute
)

// Strike is an upstream that ended under a request.
type Strike struct {
	// Upstream names the life of the upstream; see balance.LifeKey.
	Upstream uint32
	// Age is how long ago it ended.
	Age time.Duration
}

// Word is what one entry says of one request. Times are told as ages, since the clocks of
// entries differ.
type Word struct {
	Key, Head Key
	// Voter is the hash of the id of the entry that says it.
	Voter uint32
	// Strikes are the last upstreams that ended under the request at that entry.
	Strikes []Strike
	// HeldLeft is for how long that entry will keep it from upstreams, 0 if it does not, and
	// HeldAge since how long it has.
	HeldLeft, HeldAge time.Duration
	// Answered is set if an upstream has answered it there, AnsweredAge how long ago.
	Answered    bool
	AnsweredAge time.Duration
}

// VoterOf names an entry in a Word.
func VoterOf(entry string) uint32 { return uint32(xxhash.Sum64String(entry)) }

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
	// blamed names for each upstream that ended the held request under which it did.
	blamed   map[uint32]Key
	answered recentKeys
	made     uint64
}

// record is what is known of one request.
type record struct {
	key, head Key
	// own are the upstreams that ended under it here, by when.
	own map[uint32]time.Time
	// peers is what the other entries said last.
	peers map[uint32]said
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
	// request was last told of, spoken whether this entry ever said anything of it.
	fresh  int
	toldAt time.Time
	spoken bool
	// order is that in which the records were made.
	order uint64
}

// said is a Word with its times.
type said struct {
	strikes              map[uint32]time.Time
	heldSince, heldUntil time.Time
	// answered is when an upstream answered the request there, zero if none did.
	answered time.Time
	at       time.Time
	word     Word
}

// NewTracker returns the Tracker of an entry.
func NewTracker(self string) *Tracker {
	return &Tracker{
		self: VoterOf(self), records: make(map[Key]*record), heads: make(map[Key]int),
		blamed: make(map[uint32]Key), answered: newRecentKeys(),
	}
}

// Known reports whether anything is held against a request with these keys without body,
// so that its body has to be looked at before it is sent.
func (t *Tracker) Known(head Keys) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head.Anyone] > 0 || t.heads[head.Caller] > 0
}

// Broke records that an upstream ended under a request. It reports what to do with the
// request now.
func (t *Tracker) Broke(now time.Time, head, keys Keys, upstream uint32) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range keys.All() {
		if now.Sub(t.answered.at(key)) < vouchFor {
			continue
		}
		r := t.record(now, head.All()[i], key)
		r.own[upstream] = now
		t.review(now, r)
	}
	return t.decide(now, keys)
}

// Answered records that an upstream answered a request.
func (t *Tracker) Answered(now time.Time, keys Keys) {
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

// Alive records that an upstream answered a request that was sent to it at a time. An end
// just before was none: its connection broke.
func (t *Tracker) Alive(now time.Time, upstream uint32, sent time.Time) {
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
		case len(r.own) > 0 && len(t.strikes(now, r)) >= suspectAfter:
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
	r = &record{key: key, head: head, own: make(map[uint32]time.Time), peers: make(map[uint32]said), changed: now}
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

// worth ranks records: those that are held come before those with own strikes.
func (r *record) worth(now time.Time) int {
	switch {
	case now.Before(r.heldUntil):
		return 2
	case len(r.own) > 0:
		return 1
	}
	return 0
}

// review looks at a record anew after something was added or withdrawn.
func (t *Tracker) review(now time.Time, r *record) {
	r.news(now)
	held := now.Before(r.heldUntil)
	if held {
		t.blame(now, r)
	}
	if held && t.triedAgain(now, r) || !held && t.convicted(now, r) {
		t.hold(now, r)
	}
}

// news has a change told.
func (r *record) news(now time.Time) {
	r.changed, r.fresh = now, freshRounds
}

// convicted reports whether enough upstreams ended under a request. One that was held
// before and ends another is held again at once.
func (t *Tracker) convicted(now time.Time, r *record) bool {
	strikes := t.strikes(now, r)
	if r.holds > 0 {
		return anyAfter(strikes, r.heldUntil)
	}
	if len(strikes) < heldAfter {
		return false
	}
	own := 0
	for upstream := range r.own {
		if _, ok := strikes[upstream]; ok {
			own++
		}
	}
	return own >= heldAfter || t.witnesses(r, strikes) >= voters
}

// triedAgain reports whether a request that is held here ended an upstream of another
// entry, whose hold was over before.
func (t *Tracker) triedAgain(now time.Time, r *record) bool {
	return anyAfter(t.strikes(now, r), r.heldSince.Add(lengthOf(r.holds-1)/2))
}

func anyAfter(strikes map[uint32]time.Time, since time.Time) bool {
	for _, at := range strikes {
		if at.After(since) {
			return true
		}
	}
	return false
}

// strikes returns the upstreams that ended under a request and count: those that ended
// lately, after its last answer, and under no other request that is held for it.
func (t *Tracker) strikes(now time.Time, r *record) map[uint32]time.Time {
	out := make(map[uint32]time.Time)
	add := func(strikes map[uint32]time.Time) {
		for upstream, at := range strikes {
			by, explained := t.blamed[upstream]
			if now.Sub(at) < strikeFor && at.After(r.answered) && (!explained || by == r.key) {
				out[upstream] = at
			}
		}
	}
	add(r.own)
	for _, s := range r.peers {
		add(s.strikes)
	}
	return out
}

// witnesses returns how many entries saw one of the upstreams end.
func (t *Tracker) witnesses(r *record, strikes map[uint32]time.Time) int {
	n := 0
	saw := func(own map[uint32]time.Time) bool {
		for upstream := range own {
			if _, ok := strikes[upstream]; ok {
				return true
			}
		}
		return false
	}
	if saw(r.own) {
		n++
	}
	for _, s := range r.peers {
		if saw(s.strikes) {
			n++
		}
	}
	return n
}

// hold keeps a request from upstreams from now on.
func (t *Tracker) hold(now time.Time, r *record) {
	r.heldSince = now
	r.heldUntil = now.Add(lengthOf(r.holds) + t.spread(r.key))
	r.holds++
	t.blame(now, r)
}

// lengthOf returns how long a hold lasts at least after a number of earlier ones.
func lengthOf(earlier int) time.Duration {
	const doublings = 5
	return min(holdFor<<min(max(0, earlier), doublings), longestHold)
}

// spread returns the own part of holdSpread.
func (t *Tracker) spread(key Key) time.Duration {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], t.self)
	return time.Duration(mix(key, xxhash.Sum64(b[:])) % Key(holdSpread))
}

// blame records which upstreams a held request ended, so that their ends do not count
// against what else was under way there.
func (t *Tracker) blame(now time.Time, r *record) {
	for upstream := range t.strikes(now, r) {
		t.blamed[upstream] = r.key
	}
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
	for upstream, by := range t.blamed {
		if by == r.key {
			delete(t.blamed, upstream)
		}
	}
	r.news(now)
}

// Heard takes in what another entry says.
func (t *Tracker) Heard(now time.Time, w Word) {
	if w.Voter == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[w.Key]
	if r == nil && len(w.Strikes) == 0 && w.HeldLeft == 0 {
		return
	}
	r = t.record(now, w.Head, w.Key)
	before, known := r.peers[w.Voter]
	if !known && len(r.peers) >= maxVoters {
		return
	}
	next := t.saidOf(now, w)
	r.peers[w.Voter] = next
	if next.answersSince(&before) {
		t.clear(now, r, next.answered)
	}
	if next.differs(&before) {
		t.review(now, r)
	}
	t.takeHold(now, r)
}

// differs reports whether an entry says something else than before, but for ages.
func (s *said) differs(before *said) bool {
	if len(s.strikes) != len(before.strikes) || s.heldUntil.IsZero() != before.heldUntil.IsZero() {
		return true
	}
	for upstream := range s.strikes {
		if _, ok := before.strikes[upstream]; !ok {
			return true
		}
	}
	return s.answersSince(before)
}

// answersSince reports whether there is an answer that was not told before. The same one
// seems later if its report took longer.
func (s *said) answersSince(before *said) bool {
	return s.answered.Sub(before.answered) > echoSlack
}

// saidOf turns ages into times. Ends soon after an answer here do not count.
func (t *Tracker) saidOf(now time.Time, w Word) said {
	s := said{strikes: make(map[uint32]time.Time, len(w.Strikes)), at: now, word: w}
	vouchedUntil := t.answered.at(w.Key).Add(vouchFor)
	for _, strike := range w.Strikes {
		if at := now.Add(-strike.Age); at.After(vouchedUntil) {
			s.strikes[strike.Upstream] = at
		}
	}
	if w.Answered {
		s.answered = now.Add(-w.AnsweredAge)
	}
	if w.HeldLeft > echoSlack && now.After(vouchedUntil) {
		s.heldSince, s.heldUntil = now.Add(-w.HeldAge), now.Add(w.HeldLeft)
	}
	return s
}

// takeHold holds a request that enough others hold, so that a node which starts, or was
// cut off, learns what holds. A hold that is over here is not taken over from those at
// which the same one lasts longer: all would let the request through at once in the end.
func (t *Tracker) takeHold(now time.Time, r *record) {
	if now.Before(r.heldUntil) {
		return
	}
	var holding []said
	for _, s := range r.peers {
		if s.heldUntil.After(now) && s.heldSince.After(r.answered) && s.heldSince.After(r.heldUntil) {
			holding = append(holding, s)
		}
	}
	if len(holding) < voters {
		return
	}
	slices.SortFunc(holding, func(a, b said) int { return b.heldUntil.Compare(a.heldUntil) })
	last := holding[voters-1]
	r.heldSince, r.heldUntil = last.heldSince, last.heldUntil.Add(t.spread(r.key)-holdSpread)
	r.holds = max(1, r.holds)
	t.blame(now, r)
}

// Forget drops the requests that nothing speaks against any more. It is called every now
// and then.
func (t *Tracker) Forget(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		keep := keepFor
		if r.holds > 0 {
			keep = parolePeriod
		}
		if now.Before(r.heldUntil) || len(t.strikes(now, r)) > 0 || now.Sub(latest(r.changed, r.heldUntil)) < keep {
			continue
		}
		t.drop(r)
	}
	for upstream, by := range t.blamed {
		if t.records[by] == nil {
			delete(t.blamed, upstream)
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
