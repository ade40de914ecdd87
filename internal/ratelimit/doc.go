// Package ratelimit keeps the requests to an upstream within the limit that the upstream
// itself names in its answers, over all entries together.
//
// A Register is what is known of the limit: entries learn it from answers and from each other
// and agree on the newest. A Bucket is a token bucket that a few entries share, the senders of
// the upstream: each takes its own requests off at once and those of the others as it hears of
// them. The package does no I/O and reads no clock; the caller guards the state.
package ratelimit
