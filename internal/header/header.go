// Package header names the HTTP headers between callers, entries and upstreams.
package header

const (
	// Service names the service of a request; without it the host does.
	Service = "Loomkeel-Service"
	// Repeat marks a request as safe or unsafe to repeat.
	Repeat = "Loomkeel-Repeat"
	// Deadline is the time that the request may still take, in milliseconds.
	Deadline = "Loomkeel-Deadline"
	// RequestID names a request in logs; an upstream may echo it.
	RequestID = "X-Request-Id"
	// Load is the number of requests in flight that an upstream reports.
	Load = "Upstream-Load"
	// RateLimit is the requests a second that an upstream takes from all entries together.
	RateLimit = "Upstream-Limit"
	// State is StateDraining on answers of an upstream that wants no new work.
	State = "Upstream-State"
)

// StateDraining is the value of State by which an upstream leaves.
const StateDraining = "draining"

// Prefix starts the names of loomkeel's own headers. Those from a caller that
// loomkeel has no use for are dropped.
const Prefix = "Loomkeel-"
