package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// holdThreshold is the number of upstreams that must have crashed under a request, with no
	// response to it meanwhile, for the request to be held. A single crash affects everything
	// that was in flight at the upstream, and a retry may meet a second crash when a failure
	// domain is lost.
	holdThreshold = 3
	// suspectThreshold is the number of crashes from which on an entry has no more than one
	// attempt of a request in flight.
	suspectThreshold = 2
	// quorum is the number of entries that must have observed such crashes, so that no single
	// entry can have a request refused by mistaken or forged claims. An entry that has observed
	// holdThreshold crashes itself needs no other.
	quorum = 2
	// crashLifetime is how long a crash counts. It also covers callers that retry every few
	// minutes.
	crashLifetime = 10 * time.Minute
	// responseTrustTime is how long crashes under a request are ignored after a response to it.
	// A request that many callers send is in flight at most of the upstreams that are lost with
	// a failure domain, and has regularly been responded to before.
	responseTrustTime = 10 * time.Second
	// refuteWindow is the time after a presumed crash within which a response from the same
	// upstream shows that only the connection broke. Upstreams take seconds to restart.
	refuteWindow = time.Second
	// firstHoldTime is how long a request is held after the last crash. The time doubles each
	// time that the next attempt crashes an upstream too. It is also how long callers are
	// refused after a release has fixed the fault.
	firstHoldTime = 2 * time.Minute
	// maxHoldTime bounds the doubling.
	maxHoldTime = time.Hour
	// maxHoldJitter is the time after a hold within which the entries let the request through
	// again, each at a moment of its own. The first entry that sends it can report a crash
	// before the others send it too.
	maxHoldJitter = 30 * time.Second
	// delaySlack is the time that must remain of a peer's hold for it to be adopted. Holds are
	// reported by the time remaining, which the delay of the report extends: without the slack
	// two entries would keep reporting to each other a hold that has ended.
	delaySlack = time.Second
	// maxRecords bounds the number of records. Some thirty requests are in flight at an upstream
	// that crashes, and a region of a large fleet may lose dozens of upstreams at once.
	maxRecords = 1024
	// maxSources bounds the number of entries whose claims about one request are stored: many
	// more than a quorum, and few enough that a hub which relays claims of entries that do not
	// exist cannot fill the memory.
	maxSources = 32
	// recordRetention is how long a record is kept after the last crash or hold has expired, so
	// that peers receive the change.
	recordRetention = 5 * time.Second
	// holdRetention is how long a record is kept after a hold.
	holdRetention = 10 * time.Minute
)

// Crash is the crash of an upstream while a request was in flight there.
type Crash struct {
	// Upstream identifies the incarnation of the upstream; see balance.IncarnationKey.
	Upstream uint32
	// Age is the time since the crash.
	Age time.Duration
}

// Claim is what one entry reports about one request. Times are given as ages, since the clocks
// of entries differ.
type Claim struct {
	// Key is the key of the request, Head the key without the body.
	Key, Head Key
	// Source is the hash of the ID of the entry that makes the claim; see HashEntry.
	Source uint32
	// Crashes are the last crashes under the request that this entry observed.
	Crashes []Crash
	// HoldRemaining is how long the entry will still hold the request, 0 if it does not hold
	// it. HoldAge is the time since the start of the hold.
	HoldRemaining, HoldAge time.Duration
	// Responded is set if the entry has received a response to the request, ResponseAge is the
	// time since then.
	Responded   bool
	ResponseAge time.Duration
}

// HashEntry returns the hash of an entry's ID, which identifies the entry in claims and reports.
func HashEntry(entry string) uint32 { return uint32(xxhash.Sum64String(entry)) }

// Decision is the decision on a request.
type Decision struct {
	// Held is set if the request is to be refused, RetryAfter is the delay after which the
	// caller may retry.
	Held       bool
	RetryAfter time.Duration
	// Suspect is set if upstreams crashed under the request, but too few for a hold.
	Suspect bool
}

// Tracker tracks requests under which upstreams crashed. It is safe for concurrent use.
type Tracker struct {
	self uint32

	mu      sync.Mutex
	records map[Key]*record
	// heads counts the records by their keys without the body.
	heads map[Key]int
	// attributed maps crashed upstreams to the held request that the crash is attributed to.
	attributed map[uint32]Key
	responses  recentResponses
	// lastSequence is the sequence number of the newest record.
	lastSequence uint64
}

// record holds the state of one request.
type record struct {
	key, head Key
	// ownCrashes holds the crashes that this entry observed, by upstream.
	ownCrashes map[uint32]time.Time
	// peerClaims holds the last claim of each other entry, by source.
	peerClaims map[uint32]peerClaim
	// lastResponse is the time of the last response at any entry, ownResponse of that at this
	// entry.
	lastResponse, ownResponse time.Time
	// heldSince and heldUntil are the start and the end of the last hold.
	heldSince, heldUntil time.Time
	// holds is the number of holds so far.
	holds int
	// inFlight is the number of these requests that are at upstreams.
	inFlight int
	// changed is the time of the last change.
	changed time.Time
	// roundsLeft is the number of rounds in which the last change is still to be sent, lastSent
	// is when the record was last sent. claimed is set once this entry has made a claim of its
	// own.
	roundsLeft int
	lastSent   time.Time
	claimed    bool
	// sequence numbers the records in order of creation.
	sequence uint64
}

// NewTracker returns the Tracker of the entry with the ID self.
func NewTracker(self string) *Tracker {
	return &Tracker{
		self: HashEntry(self), records: make(map[Key]*record), heads: make(map[Key]int),
		attributed: make(map[uint32]Key), responses: newRecentResponses(),
	}
}

// HasRecord reports whether there is a record of a request with these keys without the body, so
// that its body has to be read before the request is sent.
func (t *Tracker) HasRecord(head Keys) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head.AnyCaller] > 0 || t.heads[head.Caller] > 0
}

// RecordCrash records that an upstream crashed under a request with the given keys, without and
// with the body. It returns the decision on the request now.
func (t *Tracker) RecordCrash(now time.Time, head, keys Keys, upstream uint32) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, key := range keys.All() {
		if now.Sub(t.responses.last(key)) < responseTrustTime {
			continue
		}
		r := t.record(now, head.All()[i], key)
		r.ownCrashes[upstream] = now
		t.reevaluate(now, r)
	}
	return t.decide(now, keys)
}

// RecordResponse records that an upstream responded to a request.
func (t *Tracker) RecordResponse(now time.Time, keys Keys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys.All() {
		t.responses.put(key, now)
		if r := t.records[key]; r != nil {
			r.ownResponse = now
			t.clearBefore(now, r, now)
		}
	}
}

// RecordAlive records that an upstream responded to any request that was sent to it at sent. A
// crash of that upstream before sent is withdrawn if it is less than refuteWindow ago: only the
// connection broke.
func (t *Tracker) RecordAlive(now time.Time, upstream uint32, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		at, ok := r.ownCrashes[upstream]
		if ok && sent.After(at) && now.Sub(at) < refuteWindow {
			t.withdraw(now, r, upstream)
		}
	}
}

// WithdrawCrashes withdraws the crashes that this entry has recorded since a time, because its own
// links failed. Holds that followed from them end.
func (t *Tracker) WithdrawCrashes(now, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		for upstream, at := range r.ownCrashes {
			if !at.Before(since) {
				t.withdraw(now, r, upstream)
			}
		}
	}
}

// withdraw withdraws a crash that this entry has recorded. A hold that followed from it ends if the
// crashes that are left do not justify it. The caller holds t.mu.
func (t *Tracker) withdraw(now time.Time, r *record, upstream uint32) {
	at := r.ownCrashes[upstream]
	delete(r.ownCrashes, upstream)
	if t.attributed[upstream] == r.key {
		delete(t.attributed, upstream)
	}
	if !r.heldSince.Before(at) && len(t.crashes(now, r)) < holdThreshold {
		r.heldSince, r.heldUntil, r.holds = time.Time{}, time.Time{}, 0
	}
	t.reevaluate(now, r)
}

// Begin decides on a request before it is sent to an upstream. Unless the request is held, the
// caller must call End when the request has finished.
func (t *Tracker) Begin(now time.Time, keys Keys) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(now, keys)
	if d.Suspect && !d.Held && t.hasInFlight(keys) {
		d.Held, d.RetryAfter = true, suspectRetryAfter
	}
	if d.Held {
		return d
	}
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil {
			r.inFlight++
		}
	}
	return d
}

// End records that a request which Begin let through has finished.
func (t *Tracker) End(keys Keys) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil && r.inFlight > 0 {
			r.inFlight--
		}
	}
}

// suspectRetryAfter is the delay after which a suspect request may be retried while another
// attempt is in flight. Requests seldom take longer, and the crash of an upstream is noticed at
// once.
const suspectRetryAfter = time.Second

// decide returns the decision on a request. The caller holds t.mu.
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
		case len(r.ownCrashes) > 0 && len(t.crashes(now, r)) >= suspectThreshold:
			d.Suspect = true
		}
	}
	return d
}

// hasInFlight reports whether a request with one of the keys is at an upstream. The caller
// holds t.mu.
func (t *Tracker) hasInFlight(keys Keys) bool {
	for _, key := range keys.All() {
		if r := t.records[key]; r != nil && r.inFlight > 0 {
			return true
		}
	}
	return false
}

// record returns the record of a request, and creates it if there is none. If there are
// maxRecords already, one of them is evicted. The caller holds t.mu.
func (t *Tracker) record(now time.Time, head, key Key) *record {
	r := t.records[key]
	if r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.drop(t.evictionCandidate(now))
	}
	r = &record{key: key, head: head, ownCrashes: make(map[uint32]time.Time), peerClaims: make(map[uint32]peerClaim), changed: now}
	t.lastSequence++
	r.sequence = t.lastSequence
	t.records[key] = r
	t.heads[head]++
	return r
}

// drop removes a record. The caller holds t.mu.
func (t *Tracker) drop(r *record) {
	delete(t.records, r.key)
	if t.heads[r.head]--; t.heads[r.head] <= 0 {
		delete(t.heads, r.head)
	}
}

// evictionCandidate returns the record to evict for a new one: the one that changed the longest
// ago among those of the lowest rank. A peer that claims many requests therefore cannot evict
// what this entry observed itself.
func (t *Tracker) evictionCandidate(now time.Time) *record {
	var candidate *record
	for _, r := range t.records {
		if candidate == nil || r.rank(now) < candidate.rank(now) || r.rank(now) == candidate.rank(now) && r.changed.Before(candidate.changed) {
			candidate = r
		}
	}
	return candidate
}

// rank orders records by their worth: 2 for those of held requests, 1 for those with own
// crashes, and 0 for others.
func (r *record) rank(now time.Time) int {
	switch {
	case now.Before(r.heldUntil):
		return 2
	case len(r.ownCrashes) > 0:
		return 1
	}
	return 0
}

// clearBefore ends the hold of a request that was responded to, and removes its crashes from
// before the response.
func (t *Tracker) clearBefore(now time.Time, r *record, responded time.Time) {
	if !responded.After(r.lastResponse) {
		return
	}
	r.lastResponse = responded
	for upstream, at := range r.ownCrashes {
		if !at.After(responded) {
			delete(r.ownCrashes, upstream)
		}
	}
	r.heldSince, r.heldUntil, r.holds = time.Time{}, time.Time{}, 0
	for upstream, culprit := range t.attributed {
		if culprit == r.key {
			delete(t.attributed, upstream)
		}
	}
	r.markChanged(now)
}

// Expire drops the records that are no longer needed. It is to be called from time to time.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		retention := recordRetention
		if r.holds > 0 {
			retention = holdRetention
		}
		if now.Before(r.heldUntil) || len(t.crashes(now, r)) > 0 || now.Sub(latest(r.changed, r.heldUntil)) < retention {
			continue
		}
		t.drop(r)
	}
	for upstream, culprit := range t.attributed {
		if t.records[culprit] == nil {
			delete(t.attributed, upstream)
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Status holds the numbers of requests with a record, for dumps and metrics.
type Status struct {
	// Remembered counts all of them, Held those that are refused.
	Remembered int `json:"remembered"`
	Held       int `json:"held"`
}

// Status returns how many requests have a record, and how many of them are held.
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
