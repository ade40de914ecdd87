package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// strangerFresh is how long after it was heard a stranger may be asked. Entries
	// report several times a second.
	strangerFresh = 2 * time.Second
	// maxStrangers is how many are asked.
	maxStrangers = 3
)

// UnknownSenders are entries that report to this one though it does not know them yet: it
// has just started, and they still list its earlier life. If the service is away they
// are the only ones who can tell it anything. It is safe for concurrent use.
type UnknownSenders struct {
	mu    sync.Mutex
	heard map[string]time.Time
}

// NewUnknownSenders returns an empty set.
func NewUnknownSenders() *UnknownSenders { return &UnknownSenders{heard: make(map[string]time.Time)} }

// RecordReport records that an entry reported from an address.
func (s *UnknownSenders) RecordReport(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, at := range s.heard {
		if now.Sub(at) >= strangerFresh {
			delete(s.heard, known)
		}
	}
	s.heard[addr] = now
}

// Sources returns the strangers to ask, those heard last first.
func (s *UnknownSenders) Sources(now time.Time) []Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Source
	for addr, at := range s.heard {
		if now.Sub(at) < strangerFresh {
			out = append(out, Source{ID: addr, Address: addr})
		}
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(s.heard[b.Address].Compare(s.heard[a.Address]), cmp.Compare(a.Address, b.Address))
	})
	return out[:min(maxStrangers, len(out))]
}
