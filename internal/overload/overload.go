// Package overload decides what happens to requests while a service has less room than its callers
// ask for: which request is sent next, which waits and for how long, and which is refused. Decisions
// do no I/O and read no clock.
package overload

import "time"

// Request describes a request that competes for room at the upstreams of a service.
type Request struct {
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// Organisation is the hash of the name of the organisation that the request belongs to, as in
	// quota.HashOrganisation; 0 if it belongs to none.
	Organisation uint32
	// Arrived is when the entry received the request, Deadline when its caller gives up.
	Arrived, Deadline time.Time
	// Objective is the response time up to which the response has its full value; 0 if there is none.
	Objective time.Duration
	// Work is the time for which the request is expected to hold a slot of an upstream.
	Work time.Duration
}

// Verdict is a Gate's decision about a request.
type Verdict struct {
	// Refused is set if the request must not compete for room now.
	Refused bool
	// RetryAfter is the time after which a refused request will find room; 0 if no such time can be
	// promised.
	RetryAfter time.Duration
}

// Gate divides the room of a service among all requests for it before they compete for the slots of
// single upstreams. It is safe for concurrent use.
type Gate interface {
	// Admit decides about a request that arrives now.
	Admit(now time.Time, r Request) Verdict
}
