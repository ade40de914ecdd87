// Package shift carries out announced moves of traffic between regions.
//
// A Meter belongs to one service at one entry. It spreads the moved requests
// evenly, so that of any n requests in a row at most share*n+1 are moved. Each
// entry keeps to the cap for its own requests, and so the sum over all entries
// keeps to it without any talk between them.
package shift

import (
	"math"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// freshFor is how old the newest load report of the receiving region may be for
// a move to advance.
const freshFor = 5 * time.Second

// lane is one move under way.
type lane struct {
	share  float64
	credit float64
	at     time.Time
}

// Splitter decides which requests of one service are moved. It is safe for
// concurrent use.
type Splitter struct {
	mu    sync.Mutex
	lanes map[string]*lane
}

// NewSplitter returns a Meter without moves under way.
func NewSplitter() *Splitter { return &Splitter{lanes: make(map[string]*lane)} }

// Input is what a decision is taken by.
type Input struct {
	Now time.Time
	// Moves are the moves of the service out of the own region.
	Moves []tree.Move
	// MaxShare is the largest share that moves may shift together.
	MaxShare float64
	// MaxGainPerMinute is the largest share that one move may gain in a minute.
	MaxGainPerMinute float64
	// LastReport returns when a region's upstreams last reported their load.
	LastReport func(region string) time.Time
}

// Decide counts one request and returns the region it is moved to, or "" if it
// stays.
func (m *Splitter) Decide(in Input) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(in.Moves)
	total, target := 0.0, ""
	for _, mv := range in.Moves {
		l := m.lane(mv, in)
		l.advance(mv, in)
		share := math.Min(l.share, in.MaxShare-total)
		total += share
		l.credit = math.Min(l.credit+share, 1)
		if target == "" && l.credit >= 1 {
			l.credit--
			target = mv.To
		}
	}
	return target
}

// lane returns a move's state. An entry that starts in the middle of a move
// joins it at the share that the schedule gives.
func (m *Splitter) lane(mv tree.Move, in Input) *lane {
	l := m.lanes[mv.Path]
	if l == nil {
		l = &lane{share: mv.Share(in.Now), at: in.Now}
		m.lanes[mv.Path] = l
	}
	return l
}

// advance follows the schedule as far as the rate allows, and holds while the
// receiving region's load is not known. It falls at once.
func (l *lane) advance(mv tree.Move, in Input) {
	elapsed := in.Now.Sub(l.at)
	l.at = in.Now
	want := mv.Share(in.Now)
	if want <= l.share {
		l.share = want
		return
	}
	first := l.share < mv.Step || l.share == 0
	if !first && in.Now.Sub(in.LastReport(mv.To)) > freshFor {
		return
	}
	next := l.share + in.MaxGainPerMinute*elapsed.Minutes()
	if first {
		next = math.Max(next, mv.Step)
	}
	l.share = math.Min(want, next)
}

// drop forgets moves that are no longer announced.
func (m *Splitter) drop(moves []tree.Move) {
	if len(m.lanes) <= len(moves) && m.allKnown(moves) {
		return
	}
	keep := make(map[string]*lane, len(moves))
	for _, mv := range moves {
		if l := m.lanes[mv.Path]; l != nil {
			keep[mv.Path] = l
		}
	}
	m.lanes = keep
}

func (m *Splitter) allKnown(moves []tree.Move) bool {
	known := 0
	for _, mv := range moves {
		if m.lanes[mv.Path] != nil {
			known++
		}
	}
	return known == len(m.lanes)
}

// Shares returns the share of each move under way, by its path.
func (m *Splitter) Shares() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]float64, len(m.lanes))
	for p, l := range m.lanes {
		out[p] = l.share
	}
	return out
}
