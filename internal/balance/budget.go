package balance

import "sync"

// Budget limits retries to a share of recent requests, so that a region that
// fails does not double its own load. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. Burst is how many retries may be made before
// any success.
func NewBudget(burst float64) *Budget { return &Budget{burst: burst, tokens: burst} }

// SetBurst changes how many retries may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.burst, b.tokens)
}

// Earn adds the share of a retry that one request or success earns.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+share)
}

// Take reports whether one more retry may be made, and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
