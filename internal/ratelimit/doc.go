// Package ratelimit keeps the request rate to an upstream within the limit that the upstream
// announces in its responses, across all entries.
//
// A Register holds the limit of an upstream. Entries learn the limit from responses and from
// each other, and converge on its newest value. A Bucket is a token bucket that is shared by a
// few entries, the senders of the upstream: each sender takes off its own requests at once, and
// those of the other senders as their counts arrive. The package does no I/O and reads no clock;
// the caller synchronises access.
package ratelimit
