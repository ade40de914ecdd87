package agent

import (
	"sync"

	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/model"
)

// directory holds the newest list of upstreams. It is safe for concurrent use.
type directory struct {
	mu      sync.Mutex
	list    model.Directory
	changed chan struct{}
	// addrs are the agents that the platform's list names.
	addrs []string
}

func newDirectory() *directory { return &directory{changed: make(chan struct{})} }

// get returns the list and a channel that closes when there is a newer one.
func (d *directory) get() (model.Directory, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.changed
}

func (d *directory) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Version
}

// set takes in a list if it is newer.
func (d *directory) set(list model.Directory) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list.Version <= d.list.Version {
		return false
	}
	d.list = list
	close(d.changed)
	d.changed = make(chan struct{})
	return true
}

// take takes in the platform's list.
func (d *directory) take(l coordination.InstanceList) {
	var addrs []string
	for _, i := range l.Instances {
		if i.Kind == coordination.KindNode && !i.Leaving {
			addrs = append(addrs, i.Address)
		}
	}
	d.mu.Lock()
	d.addrs = addrs
	d.mu.Unlock()
	d.set(fromPlatform(l))
}

// nodes returns the addresses of the agents that the platform's list names.
func (d *directory) nodes() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.addrs...)
}

// fromPlatform returns the upstreams of the platform's list.
func fromPlatform(l coordination.InstanceList) model.Directory {
	d := model.Directory{Version: l.Version}
	for _, i := range l.Instances {
		if i.Kind != coordination.KindUpstream {
			continue
		}
		d.Upstreams = append(d.Upstreams, model.Upstream{
			ID:          i.ID,
			Service:     i.Service,
			Region:      i.Region,
			Domain:      i.Domain,
			Address:     i.Address,
			Slots:       i.Slots,
			Connections: i.Connections,
			Leaving:     i.Leaving,
		})
	}
	return d
}
