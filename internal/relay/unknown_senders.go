package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// senderMaxAge is how long after its last report an unknown sender is used as a source.
	// Nodes report several times a second.
	senderMaxAge = 2 * time.Second
	// maxUnknownSenders is how many unknown senders are used as sources.
	maxUnknownSenders = 3
)

// UnknownSenders tracks the nodes that send reports to this node though it does not have
// them as members yet: it has just started, and they still list its earlier incarnation.
// During an outage of the store they are the only sources that it has. It is safe for
// concurrent use.
type UnknownSenders struct {
	mu         sync.Mutex
	lastReport map[string]time.Time
}

// NewUnknownSenders returns an empty set.
func NewUnknownSenders() *UnknownSenders {
	return &UnknownSenders{lastReport: make(map[string]time.Time)}
}

// RecordReport records that a report arrived from an address.
func (s *UnknownSenders) RecordReport(addr string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known, at := range s.lastReport {
		if now.Sub(at) >= senderMaxAge {
			delete(s.lastReport, known)
		}
	}
	s.lastReport[addr] = now
}

// Sources returns up to maxUnknownSenders sources, those with the latest reports first.
func (s *UnknownSenders) Sources(now time.Time) []Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Source
	for addr, at := range s.lastReport {
		if now.Sub(at) < senderMaxAge {
			out = append(out, Source{ID: addr, Address: addr})
		}
	}
	slices.SortFunc(out, func(a, b Source) int {
		return cmp.Or(s.lastReport[b.Address].Compare(s.lastReport[a.Address]), cmp.Compare(a.Address, b.Address))
	})
	return out[:min(maxUnknownSenders, len(out))]
}
