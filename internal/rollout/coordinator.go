package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeoverDelay is the time after which the next entry in the order of Position takes a step
	// that the entries before it have not taken. It allows for a write to the store and for the
	// way back of the result.
	takeoverDelay = 700 * time.Millisecond
	// canaryMargin is the part of the allowed canary share that is used. The rest allows for
	// requests that are sent to the new version but not counted at this entry.
	canaryMargin = 0.8
)

// CanaryShare returns the share of the requests in the Canary stage, for the largest share that a
// version may get before it has proved itself.
func CanaryShare(allowed float64) float64 { return canaryMargin * allowed }

// Position returns the place of self among the candidates that may take the steps of an order,
// from 0. It is the same at all entries that know the same candidates.
func Position(key uint64, self string, candidates []string) int {
	score := func(id string) uint64 { return xxhash.Sum64String(id) ^ key }
	n := 0
	for _, id := range candidates {
		if id != self && score(id) < score(self) {
			n++
		}
	}
	return n
}

// Proposals delays the steps that one entry proposes, so that usually a single entry takes each of
// them. The zero value is ready for use.
type Proposals struct {
	since map[uint64]proposal
}

// proposal is a step that has been due since a time.
type proposal struct {
	state State
	stage Stage
	share float64
	since time.Time
}

// Due records that a step of an order is due, and reports whether the entry at a position is to
// take it now.
func (p *Proposals) Due(key uint64, next Progress, position int, now time.Time) bool {
	known, ok := p.since[key]
	if !ok || known.state != next.State || known.stage != next.Stage || known.share != next.Share {
		if p.since == nil {
			p.since = make(map[uint64]proposal)
		}
		known = proposal{next.State, next.Stage, next.Share, now}
		p.since[key] = known
	}
	return now.Sub(known.since) >= time.Duration(position)*takeoverDelay
}

// Clear forgets the step of an order, of which none is due.
func (p *Proposals) Clear(key uint64) { delete(p.since, key) }
