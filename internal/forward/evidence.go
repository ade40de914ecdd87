package forward

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Evidence is what an attempt's verdict NotRun rests on.
type Evidence struct {
	// Upstream is the ID of the upstream or peer.
	Upstream string `json:"upstream"`
	// Connection is the local address of the connection; empty if none was opened.
	Connection string `json:"connection,omitempty"`
	// Ordinal is the number of requests sent on the connection up to this one; 0 if this one was not
	// written.
	Ordinal int `json:"ordinal"`
	// Status is the HTTP status of the response; 0 if there was none.
	Status int `json:"status,omitempty"`
	// Identified is set if the response names the request.
	Identified bool `json:"identified"`
	// Reason is the reason of the attempt's error.
	Reason string `json:"reason"`
}

// String returns the evidence as it is written in log lines.
func (e Evidence) String() string {
	if e.Status == 0 {
		return fmt.Sprintf("%s: %s, not written", e.Upstream, e.Reason)
	}
	return fmt.Sprintf("%s: %s by %d on %s, request %d, identified %t", e.Upstream, e.Reason, e.Status, e.Connection, e.Ordinal, e.Identified)
}

// RefusalCounts counts the responses that said that their request was not run.
type RefusalCounts struct {
	// Identified counts those that named the request. The others are counted by the place of the
	// request on its connection: First on a connection that had carried nothing before, Later on
	// one that had. The latter are believed only if the request may be repeated.
	Identified int64 `json:"identified"`
	First      int64 `json:"first"`
	Later      int64 `json:"later"`
}

// Refusal is a request that may run only once and of which an attempt counted as not run.
type Refusal struct {
	At time.Time `json:"at"`
	ID string    `json:"id"`
	// Status and Verdict are what the caller was told, and Reason is why. If Peer is not empty, that
	// entry said so.
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Evidence has an entry for each attempt that counted as not run.
	Evidence []Evidence `json:"evidence"`
}

// maxRefusals is the number of Refusals that are kept for dumps.
const maxRefusals = 256

// refusalLog holds the latest Refusals and the counts of refusing responses. It is safe for concurrent
// use.
type refusalLog struct {
	mu     sync.Mutex
	counts RefusalCounts
	// latest is a ring of which next is the oldest element once it is full.
	latest []Refusal
	next   int
}

// count counts a response that said that its request was not run; first is set if its connection had
// carried nothing before the request.
func (l *refusalLog) count(identified, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case identified:
		l.counts.Identified++
	case first:
		l.counts.First++
	default:
		l.counts.Later++
	}
}

// add keeps a Refusal in place of the oldest one.
func (l *refusalLog) add(r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.latest) < maxRefusals {
		l.latest = append(l.latest, r)
		return
	}
	l.latest[l.next] = r
	l.next = (l.next + 1) % maxRefusals
}

// recordRefusing records a response by which an attempt counts as not run.
func (p *Proxy) recordRefusing(cl *call, from string, writes *writeTracker, resp *http.Response, info ResponseInfo) {
	e := Evidence{Upstream: from, Status: resp.StatusCode, Identified: info.Identified, Reason: info.NotRunReason}
	e.Connection, e.Ordinal = writes.connection()
	cl.addEvidence(e)
}

// recordUnsent records an attempt that counts as not run since nothing of the request was written.
func (p *Proxy) recordUnsent(cl *call, to string, err *verdict.Error) {
	if err.Verdict == verdict.NotRun {
		cl.addEvidence(Evidence{Upstream: to, Reason: err.Reason})
	}
}

// addEvidence adds to the evidence of a request that may run only once. Its attempts are made one after
// the other.
func (c *call) addEvidence(e Evidence) {
	if !c.Idempotent {
		c.evidence = append(c.evidence, e)
	}
}

// recordRefusal keeps the end of a request of which an attempt counted as not run, for dumps.
func (p *Proxy) recordRefusal(cl *call, out *Outcome) {
	out.Evidence = cl.evidence
	if len(cl.evidence) == 0 {
		return
	}
	p.refusals.add(Refusal{
		At: p.now(), ID: cl.ID, Status: out.Status, Verdict: out.Verdict.String(), Reason: out.Reason, Peer: out.Peer, Evidence: cl.evidence,
	})
}

// RefusalCounts returns the counts of responses that said that their request was not run.
func (p *Proxy) RefusalCounts() RefusalCounts {
	p.refusals.mu.Lock()
	defer p.refusals.mu.Unlock()
	return p.refusals.counts
}

// Refusals returns the latest requests that may run only once and of which an attempt counted as not
// run, the oldest first.
func (p *Proxy) Refusals() []Refusal {
	p.refusals.mu.Lock()
	defer p.refusals.mu.Unlock()
	return append(append([]Refusal(nil), p.refusals.latest[p.refusals.next:]...), p.refusals.latest[:p.refusals.next]...)
}
