package logs

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of log lines per kind of line. It is safe for concurrent use.
type Limiter struct {
	perSecond float64
	burst     int

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the rate limiter of one kind of line.
type kind struct {
	limiter *rate.Limiter
	// suppressed is the number of lines not allowed since the last allowed one.
	suppressed int64
}

// NewLimiter returns a Limiter that allows perSecond lines of each kind per second on average, and
// bursts of up to burst lines.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{perSecond: perSecond, burst: burst, kinds: make(map[string]*kind)}
}

// Allow reports whether a line of the named kind may be written at the time now. If so, it also
// returns the number of lines of this kind suppressed since the last allowed one.
func (l *Limiter) Allow(now time.Time, name string) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(rate.Limit(l.perSecond), l.burst)}
		l.kinds[name] = k
	}
	if !k.limiter.AllowN(now, 1) {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}
