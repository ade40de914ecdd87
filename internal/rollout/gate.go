package rollout

const (
	// maxTokens bounds the requests that a Gate may let through in a row after a time in which
	// none was eligible.
	maxTokens = 4.0
	// widenTokens is the number of tokens from which a Gate makes more objects eligible.
	widenTokens = 3.0
	// widenFactor is by how much it does so at a time.
	widenFactor = 1.5
)

// Gate chooses the requests of one route that go to the new version. Of any n requests in a row it
// chooses at most a share of n, rounded down, plus maxTokens, and of the first n at most that share,
// so that the sum over all entries keeps to the share, however many entries there are.
//
// The chosen requests are for few objects, the same ones at all entries: an upstream is slow for
// an object that it has not served before.
type Gate struct {
	tokens float64
	// width is the part of the objects, by hash, that is eligible.
	width float64
}

// Choose counts a request for an object, given by its hash, and reports whether it goes to the
// new version, whose share of the requests is share.
func (g *Gate) Choose(object uint64, share float64) bool {
	if share >= 1 {
		return true
	}
	g.tokens = min(maxTokens, g.tokens+share)
	g.width = max(g.width, share)
	if g.tokens >= widenTokens {
		g.width = min(1, g.width*widenFactor)
	}
	if g.tokens < 1 || uniform(object) >= g.width {
		return false
	}
	g.tokens--
	return true
}

// Refund takes back the choice of a request that did not go to the new version after all.
func (g *Gate) Refund() { g.tokens = min(maxTokens, g.tokens+1) }

// uniform maps a hash to a number from 0 to 1.
func uniform(hash uint64) float64 {
	const mantissa = 53
	return float64(hash>>(64-mantissa)) / (1 << mantissa)
}
