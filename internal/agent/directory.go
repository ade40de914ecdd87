package agent

import (
	"sync"

	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/model"
)

// directory holds the newest known list of upstreams. It is safe for concurrent use.
type directory struct {
	mu   sync.Mutex
	list model.Directory
	// changed is closed and replaced when list is replaced.
	changed chan struct{}
	// addrs are the addresses of the agents in the platform's list.
	addrs []string
}

func newDirectory() *directory { return &directory{changed: make(chan struct{})} }

// get returns the list and a channel that is closed when a newer list is set.
func (d *directory) get() (model.Directory, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, d.changed
}

// version returns the version of the list.
func (d *directory) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Version
}

// set replaces the list if the given one has a higher version, and reports whether
// it did.
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

// applyPlatformList stores the agent addresses of the platform's list, and its
// upstreams if the list is newer.
func (d *directory) applyPlatformList(l coordination.InstanceList) {
	var addrs []string
	for _, i := range l.Instances {
		if i.Kind == coordination.KindNode && !i.Leaving {
			addrs = append(addrs, i.Address)
		}
	}
	d.mu.Lock()
	d.addrs = addrs
	d.mu.Unlock()
	d.set(directoryFromPlatform(l))
}

// agentAddresses returns the addresses of the agents in the platform's list.
func (d *directory) agentAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.addrs...)
}

// directoryFromPlatform returns the upstreams in the platform's list, with the
// list's version.
func directoryFromPlatform(l coordination.InstanceList) model.Directory {
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
