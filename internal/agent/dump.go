package agent

import (
	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
)

// Dump is a copy of an agent's state for the debug interface.
type Dump struct {
	Self membership.Member `json:"self"`
	// Revision is the revision of the agent's configuration.
	Revision uint64 `json:"revision"`
	// Origin describes where the state was loaded from at the start.
	Origin string `json:"origin"`
	// Plan is the agent's role in the fan-out of its failure domain.
	Plan      fanout.Plan         `json:"fanout"`
	Members   []membership.Member `json:"members"`
	Directory model.Directory     `json:"directory"`
	// PendingUpdates is the number of members whose state is queued for gossip.
	PendingUpdates int `json:"updates_due"`
	// Processes is the state of each process of the instance by name: "up",
	// "leaving" or "down".
	Processes map[string]string `json:"processes"`
	// Shares are the caps and their division among instances, by region.
	Shares map[string]share.RegionStatus `json:"shares"`
	// Stats are the agent's counters by name.
	Stats map[string]int64 `json:"stats"`
}

// Dump returns a copy of the agent's state.
func (a *Agent) Dump() Dump {
	members, _ := a.table.All()
	list, _ := a.directory.get()
	origin, _ := a.origin.Load().(string)
	return Dump{
		Self:           a.table.Self(),
		Revision:       a.log.Revision(),
		Origin:         origin,
		Plan:           a.plan(),
		Members:        members,
		Directory:      list,
		PendingUpdates: a.table.PendingUpdates(),
		Processes:      a.processStates(),
		Shares:         a.allocator.Dump(),
		Stats:          a.Counters(),
	}
}

// processStates returns the state of each process of the instance by name.
func (a *Agent) processStates() map[string]string {
	a.processesMu.Lock()
	defer a.processesMu.Unlock()
	out := make(map[string]string)
	for name, p := range a.processes {
		switch {
		case p.streams == 0:
			out[name] = "down"
		case p.leaving:
			out[name] = "leaving"
		default:
			out[name] = "up"
		}
	}
	return out
}

// Counters returns the agent's counters by name.
func (a *Agent) Counters() map[string]int64 {
	s := &a.stats
	return map[string]int64{
		"exchanges":        s.Exchanges.Load(),
		"exchange_failed":  s.ExchangeFailed.Load(),
		"pushes":           s.Pushes.Load(),
		"push_failed":      s.PushFailed.Load(),
		"records_applied":  s.RecordsApplied.Load(),
		"records_refused":  s.RecordsRefused.Load(),
		"store_failed":     s.StoreFailed.Load(),
		"snapshots_served": s.SnapshotsServed.Load(),
	}
}
