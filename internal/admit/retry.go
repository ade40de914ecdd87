package admit

import (
	"sync"
	"time"
)

// retryBelow is the share of the longest observed wait below which a caller must have spent some of
// its time on an earlier attempt.
const retryBelow = 0.98

// RetryDetector distinguishes retries from first attempts. It records the longest time that callers
// of each class of requests are willing to wait; a caller that retries after a refusal has less
// time left. It is safe for concurrent use.
type RetryDetector struct {
	mu          sync.Mutex
	longestWait map[string]time.Duration
}

// NewRetryDetector returns a RetryDetector without observations.
func NewRetryDetector() *RetryDetector {
	return &RetryDetector{longestWait: make(map[string]time.Duration)}
}

// IsRetry records the time that a caller has left, and reports whether the request is a retry. It
// reports false if left is not positive, which means that the caller has not given a time.
func (d *RetryDetector) IsRetry(class string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longestWait[class]
	if left > longest {
		d.longestWait[class] = left
		return false
	}
	return float64(left) < retryBelow*float64(longest)
}
