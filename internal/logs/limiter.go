package logs

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter bounds the lines of each kind. It is safe for concurrent use.
type Limiter struct {
	perSecond float64
	burst     int

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the state of one kind of line.
type kind struct {
	limiter *rate.Limiter
	// left is how many lines were left out since the last one.
	left int64
}

// NewLimiter returns a Limiter that lets a number of lines of each kind through per
// second, and a burst at once.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{perSecond: perSecond, burst: burst, kinds: make(map[string]*kind)}
}

// Allow reports whether a line of a kind may be written now, and if so how many
// were left out since the last one.
func (l *Limiter) Allow(now time.Time, name string) (left int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(rate.Limit(l.perSecond), l.burst)}
		l.kinds[name] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.left++
		return 0, false
	}
	left, k.left = k.left, 0
	return left, true
}
