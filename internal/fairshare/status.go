package fairshare

import (
	"cmp"
	"slices"
)

// Counts counts requests since the start of the entry, while a plan was in force.
type Counts struct {
	// Asked counts all requests, Admitted those that the parts let through and Refused the others.
	Asked    int64 `json:"asked"`
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	// Promised counts the refused requests that were told when there is room for them, Kept the
	// returns that were admitted because of a promise.
	Promised int64 `json:"promised"`
	Kept     int64 `json:"kept"`
}

// Status is the state of a Gate, for metrics and dumps.
type Status struct {
	// Short is set while a plan is in force.
	Short bool `json:"short"`
	// Slots and Busy are those of the upstreams. Room and Demand are the estimated room and demand,
	// and Correction the factor by which the room has been corrected; all but the last in slots.
	Slots      float64      `json:"slots"`
	Busy       float64      `json:"busy"`
	Room       float64      `json:"room"`
	Demand     float64      `json:"demand"`
	Correction float64      `json:"correction"`
	Lanes      []LaneStatus `json:"lanes,omitempty"`
}

// LaneStatus is the state of one rank and organisation.
type LaneStatus struct {
	Rank int `json:"rank"`
	// Organisation is the hash of the organisation's name; 0 stands for all organisations that are not
	// told apart, and for requests without organisation.
	Organisation uint32 `json:"organisation"`
	// Name is the organisation's name, where the caller of Status adds it.
	Name string `json:"name,omitempty"`
	// Part is the part of the requests that the last plan grants.
	Part float64 `json:"part"`
	Counts
}

// Status returns the state of the gate.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.last
	s.Short = g.estimate.short
	for key, l := range g.lanes {
		l.mu.Lock()
		s.Lanes = append(s.Lanes, LaneStatus{Rank: key.Rank, Organisation: key.Organisation, Part: l.part, Counts: l.counts})
		l.mu.Unlock()
	}
	slices.SortFunc(s.Lanes, func(a, b LaneStatus) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	return s
}
