package balance

import "time"

// Result is the way in which a request at an upstream ended.
type Result uint8

// The results.
const (
	// OK means that an answer arrived.
	OK Result = iota
	// Shed means that the upstream refused the request because of load. It is healthy, but full.
	Shed
	// ShedIdle means that the upstream refused the request as if because of load, although it had
	// free slots. Done returns it in place of Shed; the request may be sent to the upstream again.
	ShedIdle
	// Failed means that no answer arrived, or an incomplete one.
	Failed
	// Unreachable means that no connection could be made. A single such result ejects the upstream.
	Unreachable
	// Abandoned means that the caller disconnected or its deadline passed, without an observed
	// failure of the upstream.
	Abandoned
)

// DoneInfo is what one request has shown about its upstream.
type DoneInfo struct {
	Result Result
	// Observation is what Observe returned for the answer.
	Observation Observation
	// ServerError is set if the answer is a failure of the upstream itself.
	ServerError bool
	// Bytes is the total size of the bodies of the request and the answer, 0 if unknown.
	Bytes int64
	// ConnectTime is the time it took to open the connection; 0 if an existing one was used.
	ConnectTime time.Duration
}

// Done releases the slot of a Choice and records how the request ended. It returns r.Result, or
// ShedIdle in place of Shed if the upstream had free slots.
func (b *Balancer) Done(now time.Time, c Choice, r DoneInfo) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := c.state
	if u.restarted {
		b.inFlight[c.Region]--
		return r.Result
	}
	u.inFlight--
	u.endedAt = now
	b.inFlight[c.Region]--
	if best := b.roundTrip[c.Region]; r.ConnectTime > 0 && (best == 0 || r.ConnectTime < best) {
		b.roundTrip[c.Region] = r.ConnectTime
	}
	if r.Result == Shed && r.Observation.SpareSlots && !u.backingOff(now) {
		// Skipping the upstream would move its objects to upstreams that are cold for them.
		r.Result = ShedIdle
	}
	if r.Result == OK || r.Result == Unreachable {
		u.recordOutcome(now, r.ServerError || r.Result == Unreachable)
	}
	b.recordServiceTime(u, now, c, r)
	if r.Result == OK {
		u.recordServed(c.SendAt)
	}
	b.recordResult(u, now, now.Sub(c.SendAt), r.Result)
	b.updateMeanLoad(now)
	b.removeIfIdle(c.ID, u, now)
	return r.Result
}
