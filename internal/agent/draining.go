package agent

import (
	"slices"
	"sync"
	"time"
)

const (
	// drainingFor is how long an upstream's word that it drains is believed. By
	// then the platform's list has it, or it has come back.
	drainingFor = 5 * time.Minute
	// maxDraining bounds the ids on one message.
	maxDraining = 64
)

// draining holds the upstreams that said of themselves that they drain. An entry
// hears it only from those that it sends to, so agents tell each other. It is
// safe for concurrent use.
type draining struct {
	mu      sync.Mutex
	until   map[string]time.Time
	changed chan struct{}
}

func newDraining() *draining {
	return &draining{until: make(map[string]time.Time), changed: make(chan struct{})}
}

// hear takes in ids of draining upstreams. What is known already is not
// prolonged, or agents would keep each other's belief alive for ever.
func (d *draining) hear(now time.Time, ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	news := false
	for _, id := range ids[:min(maxDraining, len(ids))] {
		if _, known := d.until[id]; !known {
			d.until[id] = now.Add(drainingFor)
			news = true
		}
	}
	if news {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// list returns the ids that are believed to drain, in order, and a channel that
// closes when there are more. Ids are kept for twice the time that they are
// believed, so that late talk does not bring them back.
func (d *draining) list(now time.Time) ([]string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, until := range d.until {
		switch {
		case now.Before(until):
			ids = append(ids, id)
		case now.After(until.Add(drainingFor)):
			delete(d.until, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(maxDraining, len(ids))], d.changed
}

// drainingNow returns the ids for a message.
func (a *Agent) drainingNow() []string {
	ids, _ := a.draining.list(time.Now())
	return ids
}
