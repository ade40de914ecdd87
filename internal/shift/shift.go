// Package shift selects the requests that scheduled moves of traffic send to another
// region.
//
// A Splitter serves one service at one entry. It spreads the moved requests evenly, so
// that at most share*n+1 of any n consecutive requests are moved. Each entry enforces the
// cap on the moved share for its own requests. The sum over all entries is therefore
// within the cap too, without communication between them.
package shift

import (
	"math"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// maxReportAge is the greatest age of the receiving region's latest load report at which
// a move may still advance.
const maxReportAge = 5 * time.Second

// moveState is the progress of one move.
type moveState struct {
	// share is the part of the requests that is moved now, from 0 to 1.
	share float64
	// credit grows by share with each request, up to 1. Moving a request costs 1.
	credit float64
	// updatedAt is when share was last updated.
	updatedAt time.Time
}

// Splitter decides which requests of one service are moved. It is safe for
// concurrent use.
type Splitter struct {
	mu sync.Mutex
	// states holds the progress of the current moves, by their paths.
	states map[string]*moveState
}

// NewSplitter returns a Splitter without moves.
func NewSplitter() *Splitter { return &Splitter{states: make(map[string]*moveState)} }

// Input is the input of one decision.
type Input struct {
	Now time.Time
	// Moves are the service's announced moves out of the entry's region.
	Moves []tree.Move
	// MaxShare bounds the sum of the shares of all moves, from 0 to 1.
	MaxShare float64
	// MaxGainPerMinute is by how much the share of one move may grow in a minute, after
	// its first step.
	MaxGainPerMinute float64
	// LastReport returns the time of the latest load report of a region's upstreams.
	LastReport func(region string) time.Time
}

// Decide updates the shares of the moves, counts one request and returns the region that
// the request is moved to, or "" if it stays.
func (s *Splitter) Decide(in Input) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeEnded(in.Moves)
	total, target := 0.0, ""
	for _, mv := range in.Moves {
		state := s.state(mv, in)
		state.advance(mv, in)
		share := math.Min(state.share, in.MaxShare-total)
		total += share
		state.credit = math.Min(state.credit+share, 1)
		if target == "" && state.credit >= 1 {
			state.credit--
			target = mv.To
		}
	}
	return target
}

// state returns the progress of a move, which it creates if necessary. An entry that
// starts in the middle of a move begins at the scheduled share.
func (s *Splitter) state(mv tree.Move, in Input) *moveState {
	state := s.states[mv.Path]
	if state == nil {
		state = &moveState{share: mv.Share(in.Now), updatedAt: in.Now}
		s.states[mv.Path] = state
	}
	return state
}

// advance raises the share to the scheduled one, starting with the move's first step and
// then no faster than MaxGainPerMinute. After the first step the share stays where it is
// while the receiving region has no recent load report. A lower scheduled share applies
// at once.
func (m *moveState) advance(mv tree.Move, in Input) {
	elapsed := in.Now.Sub(m.updatedAt)
	m.updatedAt = in.Now
	scheduled := mv.Share(in.Now)
	if scheduled <= m.share {
		m.share = scheduled
		return
	}
	belowFirstStep := m.share < mv.Step || m.share == 0
	if !belowFirstStep && in.Now.Sub(in.LastReport(mv.To)) > maxReportAge {
		return
	}
	next := m.share + in.MaxGainPerMinute*elapsed.Minutes()
	if belowFirstStep {
		next = math.Max(next, mv.Step)
	}
	m.share = math.Min(scheduled, next)
}

// removeEnded removes the states of moves that are no longer announced.
func (s *Splitter) removeEnded(moves []tree.Move) {
	if len(s.states) <= len(moves) && s.allAnnounced(moves) {
		return
	}
	keep := make(map[string]*moveState, len(moves))
	for _, mv := range moves {
		if state := s.states[mv.Path]; state != nil {
			keep[mv.Path] = state
		}
	}
	s.states = keep
}

// allAnnounced reports whether every state belongs to one of the announced moves.
func (s *Splitter) allAnnounced(moves []tree.Move) bool {
	found := 0
	for _, mv := range moves {
		if s.states[mv.Path] != nil {
			found++
		}
	}
	return found == len(s.states)
}

// Shares returns the present share of each move, from 0 to 1, by the path of the move.
func (s *Splitter) Shares() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]float64, len(s.states))
	for p, state := range s.states {
		out[p] = state.share
	}
	return out
}
