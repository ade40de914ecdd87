// Package reach decides whether an entry is isolated: whether it gets no answer from any upstream
// while other entries do.
//
// Failures at one upstream say little about whose fault they are. Failures at several upstreams in
// several failure domains, without an answer in between, while other entries are answered, show
// that the fault lies between this entry and the upstreams. The package does no I/O and reads no
// clock.
package reach

import (
	"sync"
	"time"
)

const (
	// minUpstreams and minDomains are the numbers of upstreams, and of their failure domains, that
	// must have failed without an answer. A failure domain can be lost as a whole.
	minUpstreams = 3
	minDomains   = 2
	// minSilent and minUnconnected are the shortest times for which failures must continue: without
	// any answer, and while open connections still work. A fault that resets all connections of an
	// instance at once is over by then.
	minSilent      = 200 * time.Millisecond
	minUnconnected = 500 * time.Millisecond
	// peerDelay is how long after failures began a peer must report answers. Answers that it
	// reports earlier may have arrived before the upstreams failed for all entries.
	peerDelay = AnswerWindow + 200*time.Millisecond
	// peerTimeout is the time without reports of answers at peers after which isolation ends. If no
	// entry is answered, the upstreams have failed, and other entries are of no help.
	peerTimeout = 2 * time.Second
	// peerGap is the time without reports of answers at peers after which failures from before do
	// not count: the upstreams may have failed for all entries.
	peerGap = time.Second
	// returnUpstreams is the number of upstreams that must answer, without a failure in between,
	// for isolation to end.
	returnUpstreams = 2
	// maxSuspicion is how long failures without an answer count as possibly the entry's own fault.
	// Until then they are not reported to other entries.
	maxSuspicion = 3 * time.Second
	// maxQuiet is how long attempts wait without an answer at any before health checks are sent. An
	// entry with little load may wait for one slow answer.
	maxQuiet = time.Second
	// loadSuspectAfter is how long attempts must fail without an answer before requests in flight
	// are no longer reported. An entry with some load gets an answer within that time.
	loadSuspectAfter = 300 * time.Millisecond
)

// AnswerWindow is how long an answer is reported to other entries as recent.
const AnswerWindow = 500 * time.Millisecond

// Upstream identifies an upstream; Domain is its failure domain.
type Upstream struct{ ID, Domain string }

// Known counts the upstreams that the entry may use, and their failure domains.
type Known struct{ Upstreams, Domains int }

// Detector collects the results of attempts. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	known Known
	// silent holds the failures since the last answer, unconnected those on new connections since
	// the last answer on a new connection.
	silent, unconnected streak
	// peerAnswers has the time at which each peer last reported recent answers. peersSince is since
	// when there have been such reports without a gap.
	peerAnswers map[string]time.Time
	peersSince  time.Time
	// since is the start of the isolation; zero if the entry is not isolated. answering holds the
	// upstreams that have answered since the last failure during it.
	since     time.Time
	answering map[string]bool

	// inFlight counts the attempts that wait for an answer. waitingSince is since when attempts have
	// waited, or were given up, without an answer at any; zero if none has. givenUp is set if any was
	// given up since.
	inFlight     int
	waitingSince time.Time
	givenUp      bool

	answers, failures, isolations int64
}

// NewDetector returns a Detector without any results.
func NewDetector() *Detector {
	return &Detector{silent: newStreak(minSilent), unconnected: newStreak(minUnconnected), peerAnswers: make(map[string]time.Time), answering: make(map[string]bool)}
}

// SetKnown sets the numbers of known upstreams and failure domains.
func (d *Detector) SetKnown(k Known) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = k
}

// Attempt is a request or health check that was sent to an upstream.
type Attempt struct {
	Upstream Upstream
	// Sent is when the attempt began.
	Sent time.Time
	// NewConnection is set if no open connection was used.
	NewConnection bool
}

// BeginAttempt records that an attempt is sent. It must be followed by EndAttempt.
func (d *Detector) BeginAttempt(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
	if d.waitingSince.IsZero() {
		d.waitingSince = now
	}
}

// EndAttempt records the end of an attempt. unanswered is set if the request was sent and got no
// response.
func (d *Detector) EndAttempt(unanswered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.givenUp = d.givenUp || unanswered
	if d.inFlight == 0 && !d.givenUp {
		d.waitingSince = time.Time{}
	}
}

// Unanswered reports whether attempts have waited, or were given up, for maxQuiet without an answer at
// any. Upstreams may be slow or the entry's links silent, which health checks tell.
func (d *Detector) Unanswered(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.waitingSince.IsZero() && now.Sub(d.waitingSince) >= maxQuiet
}

// RecordSilence records a health check on a new connection that an upstream accepted and did not answer
// in time. Since upstreams may be slow, it counts only as long as there is no answer on any connection.
func (d *Detector) RecordSilence(now time.Time, a Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures++
	d.silent.addSince(a.Sent, now, a)
	clear(d.answering)
}

// RecordAnswer records a response of any kind. During isolation only responses on new connections
// count, and only to attempts that began during it.
func (d *Detector) RecordAnswer(now time.Time, a Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	d.waitingSince, d.givenUp = time.Time{}, false
	if d.inFlight > 0 {
		d.waitingSince = now
	}
	if d.since.IsZero() {
		d.silent.end(now)
		if a.NewConnection {
			d.unconnected.end(now)
		}
		return
	}
	// Responses to earlier attempts were on their way when the links failed.
	if a.NewConnection && a.Sent.After(d.since) {
		d.answering[a.Upstream.ID] = true
	}
}

// RecordFailure records an attempt that found no connection or whose connection broke.
func (d *Detector) RecordFailure(now time.Time, a Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures++
	d.silent.add(now, a)
	if a.NewConnection {
		d.unconnected.add(now, a)
		clear(d.answering)
	}
}

// RecordPeerAnswers records a peer's report that upstreams have answered it recently.
func (d *Detector) RecordPeerAnswers(now time.Time, peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastPeerAnswer(now)) >= peerGap {
		d.peersSince = now
	}
	d.peerAnswers[peer] = now
}

// Evaluate decides anew whether the entry is isolated, and reports whether that has changed.
func (d *Detector) Evaluate(now time.Time) (isolated, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peersAt := d.lastPeerAnswer(now)
	if d.since.IsZero() {
		if !d.showsIsolation(&d.silent, peersAt) && !d.showsIsolation(&d.unconnected, peersAt) {
			return false, false
		}
		d.since = now
		d.isolations++
		return true, true
	}
	returned := len(d.answering) >= min(returnUpstreams, max(1, d.known.Upstreams))
	if !returned && now.Sub(peersAt) < peerTimeout {
		return true, false
	}
	d.since = time.Time{}
	d.silent.end(now)
	d.unconnected.end(now)
	clear(d.answering)
	return false, true
}

// showsIsolation reports whether failures lie at upstreams everywhere while peers are answered, as
// of the time at which peers last said so. The caller holds d.mu.
func (d *Detector) showsIsolation(s *streak, peersAt time.Time) bool {
	return s.everywhere(d.known, d.peersSince) && !peersAt.Before(s.since.Add(peerDelay))
}

// lastPeerAnswer returns the time of the last report of answers by a peer, and drops older reports.
// The caller holds d.mu.
func (d *Detector) lastPeerAnswer(now time.Time) time.Time {
	var last time.Time
	for peer, at := range d.peerAnswers {
		if now.Sub(at) >= peerTimeout {
			delete(d.peerAnswers, peer)
		}
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Isolated reports whether the entry was isolated at the last evaluation.
func (d *Detector) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero()
}

// Suspected reports whether attempts have failed without an answer since, so that the fault may be
// the entry's own. It is also true during isolation.
func (d *Detector) Suspected(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.since.IsZero() {
		return true
	}
	for _, s := range []*streak{&d.silent, &d.unconnected} {
		if len(s.failing) > 0 && s.lastsFor(now) < maxSuspicion {
			return true
		}
	}
	return false
}

// LoadSuspect reports whether this entry's requests at upstreams may not be there: attempts have
// failed without an answer for loadSuspectAfter.
func (d *Detector) LoadSuspect(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.since.IsZero() || d.silent.lastsFor(now) >= loadSuspectAfter
}

// Failing reports whether attempts, or those on new connections, have failed without an answer
// since.
func (d *Detector) Failing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.silent.failing) > 0 || len(d.unconnected.failing) > 0
}

// Answered reports whether this entry, or a peer that peers selects, has recently been answered by
// an upstream; nil selects no peer.
func (d *Detector) Answered(now time.Time, own bool, peers func(peer string) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if own && d.since.IsZero() && !d.silent.endedAt.IsZero() && now.Sub(d.silent.endedAt) < AnswerWindow {
		return true
	}
	if peers == nil {
		return false
	}
	for peer, at := range d.peerAnswers {
		if now.Sub(at) < AnswerWindow && peers(peer) {
			return true
		}
	}
	return false
}

// Status is the evidence of a Detector, for metrics, logs and dumps.
type Status struct {
	// Isolated is set while the entry is isolated, IsolatedMillis is for how long it has been, and
	// Isolations counts how often it was.
	Isolated       bool  `json:"isolated"`
	IsolatedMillis int64 `json:"isolated_ms"`
	Isolations     int64 `json:"isolations"`
	// Answers and Failures count attempts that were answered by an upstream and that failed without
	// an answer. LastAnswerMillis is the time since the last answer, -1 if there was none.
	Answers          int64 `json:"answers"`
	Failures         int64 `json:"failures"`
	LastAnswerMillis int64 `json:"last_answer_ms"`
	// Silent describes the failures since the last answer, Unconnected those on new connections
	// since the last answer on a new connection.
	Silent      StreakStatus `json:"silent"`
	Unconnected StreakStatus `json:"unconnected"`
	// PeersAnswered is the number of peers that recently reported answers. A hub of entries counts
	// as one.
	PeersAnswered int `json:"peers_answered"`
}

// Status returns the present evidence.
func (d *Detector) Status(now time.Time) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{
		Isolated: !d.since.IsZero(), Isolations: d.isolations, Answers: d.answers, Failures: d.failures, LastAnswerMillis: -1,
		Silent: d.silent.status(now), Unconnected: d.unconnected.status(now),
	}
	if s.Isolated {
		s.IsolatedMillis = now.Sub(d.since).Milliseconds()
	}
	if !d.silent.endedAt.IsZero() {
		s.LastAnswerMillis = now.Sub(d.silent.endedAt).Milliseconds()
	}
	for _, at := range d.peerAnswers {
		if now.Sub(at) < peerTimeout {
			s.PeersAnswered++
		}
	}
	return s
}
