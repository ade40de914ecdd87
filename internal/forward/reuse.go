package forward

import (
	"context"
	"sync"
	"time"
)

const (
	// doubtFor is how long it is believed that upstreams forget connections which
	// rested. The faults that were seen last some six seconds.
	doubtFor = 8 * time.Second
	// doubtShare is the part of a rest that broke up to which rests are trusted.
	doubtShare = 0.5
	// echoSlack is by how much longer a doubt that a peer tells must hold to make the
	// own one hold longer. It is told with the time that it has left, so that the way
	// lengthens it: without slack two entries would tell each other the same doubt for
	// ever. Reports take a third of a second at most.
	echoSlack = time.Second
	// promptShare and promptSlack say within what time of the request an upstream
	// resets a connection that it has forgotten: the way there and back, which is about
	// what the connection took to be made, and a little. One that breaks later was
	// lost with the work, which takes several times promptSlack.
	promptShare = 1.5
	promptSlack = 20 * time.Millisecond
)

// promptly reports whether a connection broke so soon after a request that its
// upstream must have forgotten it.
func promptly(took, connect time.Duration) bool {
	return took < time.Duration(promptShare*float64(connect))+promptSlack
}

// ReuseLimit says that connections which rested for longer than a time are not to be
// trusted with a request that may run only once: the upstream may have forgotten
// them silently, and after a reset nobody can tell whether the request ran.
type ReuseLimit struct {
	// MaxIdle is the longest rest that is trusted, Until when the doubt ends.
	MaxIdle time.Duration
	Until   time.Time
}

// rests holds what is known of how long connections may rest. It is safe for
// concurrent use.
type rests struct {
	mu    sync.Mutex
	doubt ReuseLimit
}

// broke records that a connection broke that had rested for a time.
func (r *rests) broke(rest time.Duration, now time.Time) {
	r.take(ReuseLimit{time.Duration(doubtShare * float64(rest)), now.Add(doubtFor)}, 0, now)
}

// heard takes in a doubt that a peer told.
func (r *rests) heard(d ReuseLimit, now time.Time) { r.take(d, echoSlack, now) }

// take takes in a doubt. Of two that hold the shorter rest counts, for as long as the
// later one holds, if that is later by more than a slack.
func (r *rests) take(d ReuseLimit, slack time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(d.Until) {
		return
	}
	longer := d.Until.Sub(r.doubt.Until) > slack
	if ended := !now.Before(r.doubt.Until); ended {
		if longer {
			r.doubt = d
		}
		return
	}
	r.doubt.MaxIdle = min(r.doubt.MaxIdle, d.MaxIdle)
	if longer {
		r.doubt.Until = d.Until
	}
}

// current returns the doubt that holds; zero if none does.
func (r *rests) current(now time.Time) ReuseLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.doubt.Until) {
		return ReuseLimit{}
	}
	return r.doubt
}

// onceKey marks the context of a request that may run only once.
type onceKey struct{}

func withOnce(ctx context.Context) context.Context { return context.WithValue(ctx, onceKey{}, true) }

func isOnce(ctx context.Context) bool { return ctx.Value(onceKey{}) != nil }
