// Package header defines the names of the HTTP headers that callers, entries and upstreams
// exchange.
package header

const (
	// Service is the name of the requested service. Without it the service is found by the
	// host.
	Service = "Loomkeel-Service"
	// Repeat states whether the request is safe to repeat.
	Repeat = "Loomkeel-Repeat"
	// Deadline is the remaining time for the request in milliseconds.
	Deadline = "Loomkeel-Deadline"
	// RequestID identifies the request, for example in logs. An upstream may return it in its
	// response.
	RequestID = "X-Request-Id"
	// Load is the number of requests in flight at the upstream.
	Load = "Upstream-Load"
	// RateLimit is the number of requests per second that the upstream accepts from all entries
	// together.
	RateLimit = "Upstream-Limit"
	// HandoverFrom is the ID of the entry that hands a request over to another entry.
	HandoverFrom = "Loomkeel-Handover-From"
	// HandoverCaller is the IP address of the caller of such a request.
	HandoverCaller = "Loomkeel-Handover-Caller"
	// HandoverAttempts is the number of attempts that are left for such a request.
	HandoverAttempts = "Loomkeel-Handover-Attempts"
	// State is set to StateDraining by an upstream that wants no new requests.
	State = "Upstream-State"
)

// StateDraining is the value of State for an upstream that is draining.
const StateDraining = "draining"

// Prefix starts the names of loomkeel's own headers. The native protocol (package forward) removes
// headers with this prefix from the requests and responses that it passes on, and sets its own.
const Prefix = "Loomkeel-"
