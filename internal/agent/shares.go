package agent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/wait"
)

const (
	// shareEvery is the time between two rounds of dividing the caps.
	shareEvery = time.Second
	// shareTimeout bounds one round.
	shareTimeout = 5 * time.Second
)

// shareLoop takes part in the division of the caps.
func (a *Agent) shareLoop(ctx context.Context) {
	for wait.For(ctx, a.jitter(shareEvery)) {
		terms, hold := a.terms()
		if len(terms) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, shareTimeout)
		if err := a.keeper.Reconcile(call, terms, hold); err != nil && ctx.Err() == nil {
			a.stats.StoreFailed.Add(1)
			klog.V(1).InfoS("shares not renewed", "err", err)
		}
		cancel()
	}
}

// terms returns the caps that the operators have set, by region, and the longest
// time that a request of those services may take.
func (a *Agent) terms() ([]share.CapConfig, time.Duration) {
	_, t, _ := a.log.View()
	list, _ := a.directory.get()
	byRegion := make(map[string]*share.CapConfig)
	seen := make(map[[2]string]bool)
	var hold time.Duration
	for _, u := range list.Upstreams {
		at := [2]string{u.Service, u.Region}
		if seen[at] {
			continue
		}
		seen[at] = true
		path := tree.ServicePath(u.Service) + "/regions/" + u.Region
		hold = max(hold, t.Duration(path, tree.KeyDeadline))
		if total := t.Int(path, tree.KeyMaxInFlight); total > 0 {
			addCap(byRegion, t, u, total)
		}
	}
	var out []share.CapConfig
	for _, terms := range byRegion {
		slices.SortFunc(terms.Caps, func(a, b share.Cap) int { return cmp.Compare(a.Service, b.Service) })
		out = append(out, *terms)
	}
	slices.SortFunc(out, func(a, b share.CapConfig) int { return cmp.Compare(a.Region, b.Region) })
	return out, hold
}

func addCap(byRegion map[string]*share.CapConfig, t *tree.Tree, u model.Upstream, total int) {
	terms := byRegion[u.Region]
	if terms == nil {
		path := tree.RegionPath(u.Region)
		terms = &share.CapConfig{Region: u.Region, Floor: t.Float(path, tree.KeyCapFloor), Seats: t.Int(path, tree.KeyCapSeats)}
		byRegion[u.Region] = terms
	}
	terms.Caps = append(terms.Caps, share.Cap{Service: u.Service, Total: total})
}

// limits takes in what the entry uses of the caps and returns what it may use.
func (a *Agent) limits(usage []*pb.CapUsage) []*pb.CapLimit {
	reported := make([]share.CapUsage, len(usage))
	for i, u := range usage {
		reported[i] = share.CapUsage{Service: u.GetService(), Region: u.GetRegion(), Usage: share.Usage{
			InFlight: int(u.GetInFlight()), Refused: int(u.GetRefused()), Limit: int(u.GetLimit()),
		}}
	}
	var out []*pb.CapLimit
	for _, l := range a.keeper.ApplyUsage(reported) {
		out = append(out, &pb.CapLimit{
			Service: l.Service, Region: l.Region,
			Floor: uint32(l.Floor), FloorUntil: l.FloorUntil, Grant: uint32(l.Grant), GrantUntil: l.GrantUntil,
		})
	}
	return out
}
