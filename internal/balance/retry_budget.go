package balance

import "sync"

// reservedShare is the share of a full budget that second sends leave: a retry after a failure saves a
// request, a second send only time.
const reservedShare = 1.0 / 3

// RetryBudget limits retries to a share of recent requests, so that a failing region does not
// double its own load. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full RetryBudget. burst is the number of retries allowed before any
// success.
func NewRetryBudget(burst float64) *RetryBudget { return &RetryBudget{burst: burst, tokens: burst} }

// SetBurst changes the largest number of retries that can be saved up.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.burst, b.tokens)
}

// Deposit adds the share of a retry that one request or success earns.
func (b *RetryBudget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+share)
}

// HasRetry reports whether a retry is allowed now, without taking it.
func (b *RetryBudget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// HasSpareRetry reports whether reservedShare of the largest number of retries is left for failed
// requests after one more.
func (b *RetryBudget) HasSpareRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens-1 >= reservedShare*b.burst
}

// TryWithdraw reports whether one more retry may be made, and counts it if so.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
