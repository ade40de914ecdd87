package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// peerAvoidTime is how long a peer that failed or could take no request is not chosen again.
	peerAvoidTime = time.Second
	// minLocalPeers is the share of a region's entries that must be usable for handovers to stay in
	// the region. With fewer, each would get several times its usual load.
	minLocalPeers = 1.0 / 3
	// peersLifetime is how long the list of peers is kept. Reports change it ten times a second.
	peersLifetime = 100 * time.Millisecond
)

// Peers are the other entries.
type Peers struct {
	// Usable are the entries that are live and not known to be stopping, silent or isolated.
	Usable []model.Member
	// InRegion is the number of all entries in the own region.
	InRegion int
}

// peerPicker chooses the peers to which requests are handed over. It is safe for concurrent use.
type peerPicker struct {
	mu sync.Mutex
	// inFlight counts the requests at each peer. avoidUntil is the time until which a peer is not
	// chosen, avoidDomainUntil the same for a failure domain.
	inFlight                     map[string]int
	avoidUntil, avoidDomainUntil map[string]time.Time
	handedOver                   int64
	// peers is the list as of peersAt.
	peers   Peers
	peersAt time.Time
}

func newPeerPicker() *peerPicker {
	return &peerPicker{inFlight: make(map[string]int), avoidUntil: make(map[string]time.Time), avoidDomainUntil: make(map[string]time.Time)}
}

// known returns the peers. It calls list if it has not done so for peersLifetime.
func (s *peerPicker) known(now time.Time, list func() Peers) Peers {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.peersAt) >= peersLifetime {
		s.peers, s.peersAt = list(), now
	}
	return s.peers
}

// pick returns the less loaded of two peers chosen at random among those that may get the request:
// in the own region if enough entries are left there. allows reports whether a region may handle
// the request; nil allows all. Peers whose IDs are in tried are left out.
func (s *peerPicker) pick(now time.Time, peers Peers, region string, allows func(string) bool, tried []string) (model.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var local, all []model.Member
	for _, m := range peers.Usable {
		if m.Entry == "" || slices.Contains(tried, m.ID) || now.Before(s.avoidUntil[m.ID]) || now.Before(s.avoidDomainUntil[m.Domain]) || allows != nil && !allows(m.Region) {
			continue
		}
		all = append(all, m)
		if m.Region == region {
			local = append(local, m)
		}
	}
	if float64(len(local)) >= minLocalPeers*float64(peers.InRegion) && len(local) > 0 {
		all = local
	}
	if len(all) == 0 {
		return model.Member{}, false
	}
	all = model.HighCapacity(all)
	a, b := all[rand.IntN(len(all))], all[rand.IntN(len(all))]
	if s.inFlight[b.ID] < s.inFlight[a.ID] {
		a = b
	}
	return a, true
}

// avoid records that a peer failed or could take no request. If the peer is isolated, its failure
// domain is avoided: in a fleet with hubs the isolated entries of other domains are not known, and
// they are often cut off together.
func (s *peerPicker) avoid(peer model.Member, isolated bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.avoidUntil[peer.ID] = now.Add(peerAvoidTime)
	if isolated {
		s.avoidDomainUntil[peer.Domain] = now.Add(peerAvoidTime)
	}
}

// begin and end count a request at a peer.
func (s *peerPicker) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[id]++
	s.handedOver++
}

func (s *peerPicker) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[id]--; s.inFlight[id] <= 0 {
		delete(s.inFlight, id)
	}
}

// HandoverStatus counts the requests that were handed over, for metrics.
type HandoverStatus struct {
	// Sent counts requests handed over to peers, Received those that peers handed over to this
	// entry, InFlight those that are at peers now.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	InFlight int   `json:"in_flight"`
}

// status returns the counts of requests sent to peers.
func (s *peerPicker) status() HandoverStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := HandoverStatus{Sent: s.handedOver}
	for _, n := range s.inFlight {
		out.InFlight += n
	}
	return out
}
