package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// reuseLimitDuration is how long a ReuseLimit holds after a connection broke. The network
	// faults that were observed last about six seconds.
	reuseLimitDuration = 8 * time.Second
	// maxIdleFraction is the part of a broken connection's idle time up to which idle
	// connections are still reused.
	maxIdleFraction = 0.5
	// mergeSlack is by how much longer a peer's limit must hold to extend the own limit. A
	// limit is sent with its remaining time, so transmission lengthens it: without the slack
	// two entries would extend each other's limit forever. A report takes at most a third of a
	// second.
	mergeSlack = time.Second
	// promptFactor and promptSlack define how soon after a request an upstream resets a
	// connection whose state it has lost: one round trip, which takes about as long as opening
	// the connection did, plus a margin. A connection that breaks later was lost while the
	// request ran, which takes several times promptSlack.
	promptFactor = 1.5
	promptSlack  = 20 * time.Millisecond
)

// resetPromptly reports whether a connection broke so soon after the request that the upstream
// must have lost the state of the connection before.
func resetPromptly(took, connect time.Duration) bool { return took < promptReset(connect) }

// promptReset returns the time within which an upstream resets a connection on which it cannot receive, by the
// time that it took to open the connection.
func promptReset(connect time.Duration) time.Duration {
	return time.Duration(promptFactor*float64(connect)) + promptSlack
}

// ReuseLimit states that connections idle for longer than MaxConnIdle must not be used for a
// request that may run only once. Upstreams may have lost the state of such connections without
// closing them, and after a reset it is unknown whether the request ran.
type ReuseLimit struct {
	// MaxConnIdle is the longest idle time of a connection that may be reused, and Until the time
	// at which the limit ends.
	MaxConnIdle time.Duration
	Until       time.Time
}

// reuseLimiter holds the current ReuseLimit. It is safe for concurrent use.
type reuseLimiter struct {
	mu    sync.Mutex
	limit ReuseLimit
}

// recordBreak records that a connection broke after it had been idle for a time.
func (r *reuseLimiter) recordBreak(idle time.Duration, now time.Time) {
	r.apply(ReuseLimit{time.Duration(maxIdleFraction * float64(idle)), now.Add(reuseLimitDuration)}, 0, now)
}

// merge merges a limit from a peer.
func (r *reuseLimiter) merge(limit ReuseLimit, now time.Time) { r.apply(limit, mergeSlack, now) }

// apply merges a limit into the current one. If both hold, the shorter MaxConnIdle applies. The
// end is extended only if the new limit ends later by more than slack.
func (r *reuseLimiter) apply(limit ReuseLimit, slack time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(limit.Until) {
		return
	}
	extends := limit.Until.Sub(r.limit.Until) > slack
	if ended := !now.Before(r.limit.Until); ended {
		if extends {
			r.limit = limit
		}
		return
	}
	r.limit.MaxConnIdle = min(r.limit.MaxConnIdle, limit.MaxConnIdle)
	if extends {
		r.limit.Until = limit.Until
	}
}

// reset ends the limit.
func (r *reuseLimiter) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = ReuseLimit{}
}

// current returns the limit that holds, or the zero value.
func (r *reuseLimiter) current(now time.Time) ReuseLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.limit.Until) {
		return ReuseLimit{}
	}
	return r.limit
}

// nonIdempotentKey is the context key of requests that may run only once.
type nonIdempotentKey struct{}

func withNonIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, nonIdempotentKey{}, true)
}

// newConnectionKey is the context key of requests that must not use an idle connection.
type newConnectionKey struct{}

func withNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

func needsNewConnection(ctx context.Context) bool { return ctx.Value(newConnectionKey{}) != nil }

func isNonIdempotent(ctx context.Context) bool { return ctx.Value(nonIdempotentKey{}) != nil }
