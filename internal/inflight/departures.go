package inflight

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/quota"
)

// departures holds the weights of the entries that have left the fleet within quota.DepartureHold.
// Access to it is not synchronized.
type departures struct {
	// listed are the peers of the last update, weights their weights in the limits by ID.
	listed  []Peer
	weights map[string]int
	left    map[string]departure
}

// departure is the weight of an entry that has left, and until when it is reserved.
type departure struct {
	weight int
	until  time.Time
}

// update replaces the list of peers.
func (d *departures) update(w weights, now time.Time) {
	if samePeers(d.listed, w.peers) {
		return
	}
	before := d.weights
	d.listed, d.weights = w.peers, make(map[string]int, len(w.peers))
	for _, p := range w.peers {
		d.weights[p.ID] = w.of(p)
		delete(d.left, p.ID)
	}
	for id, weight := range before {
		if _, ok := d.weights[id]; ok {
			continue
		}
		if d.left == nil {
			d.left = make(map[string]departure)
		}
		d.left[id] = departure{weight, now.Add(quota.DepartureHold)}
	}
}

// samePeers reports whether two slices are the same part of the same array, which a Fleet keeps until
// its members change.
func samePeers(a, b []Peer) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// source returns the departed entries as a source that nobody reports for.
func (d *departures) source(now time.Time) quota.Source {
	out := quota.Source{Name: "departed"}
	for id, dep := range d.left {
		if !now.Before(dep.until) {
			delete(d.left, id)
			continue
		}
		out.Weight += dep.weight
	}
	return out
}
