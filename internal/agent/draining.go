package agent

import (
	"slices"
	"sync"
	"time"
)

const (
	// drainingTTL is how long an upstream counts as draining after its report. By
	// then the platform's list shows it as leaving, or it serves again.
	drainingTTL = 5 * time.Minute
	// maxDraining is the largest number of IDs in one message.
	maxDraining = 64
)

// draining holds the upstreams that reported that they are draining. An entry
// receives such reports only from upstreams it sends requests to, so agents forward
// them to each other. It is safe for concurrent use.
type draining struct {
	mu sync.Mutex
	// until is when the report about each upstream ID expires.
	until map[string]time.Time
	// changed is closed and replaced when IDs are added.
	changed chan struct{}
}

func newDraining() *draining {
	return &draining{until: make(map[string]time.Time), changed: make(chan struct{})}
}

// apply adds received IDs of draining upstreams, at most maxDraining. The expiry of
// known IDs is not extended: otherwise agents would keep renewing each other's
// entries and these would never expire.
func (d *draining) apply(now time.Time, ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	added := false
	for _, id := range ids[:min(maxDraining, len(ids))] {
		if _, known := d.until[id]; !known {
			d.until[id] = now.Add(drainingTTL)
			added = true
		}
	}
	if added {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// list returns up to maxDraining IDs of upstreams that count as draining, sorted,
// and a channel that is closed when IDs are added. IDs are kept for twice
// drainingTTL, so that a late message does not add an expired ID again.
func (d *draining) list(now time.Time) ([]string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, until := range d.until {
		switch {
		case now.Before(until):
			ids = append(ids, id)
		case now.After(until.Add(drainingTTL)):
			delete(d.until, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(maxDraining, len(ids))], d.changed
}

// drainingIDs returns the IDs of draining upstreams to send in a message.
func (a *Agent) drainingIDs() []string {
	ids, _ := a.draining.list(time.Now())
	return ids
}
