package admit

import (
	"sync"
	"time"
)

// returnedBelow is the part of the usual time below which a caller has evidently
// spent some of it on an earlier try.
const returnedBelow = 0.98

// RetryDetector knows how long the callers of each class of requests usually wait, and
// so tells a first try from one that comes back after a refusal: the latter has
// less time left. It is safe for concurrent use.
type RetryDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// NewRetryDetector returns a Patience that knows no class.
func NewRetryDetector() *RetryDetector {
	return &RetryDetector{longest: make(map[string]time.Duration)}
}

// IsRetry takes in how long the caller of a request waits, and reports whether
// the request has been tried before. One whose caller does not say has not.
func (p *RetryDetector) IsRetry(class string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[class]
	if left > longest {
		p.longest[class] = left
		return false
	}
	return float64(left) < returnedBelow*float64(longest)
}
