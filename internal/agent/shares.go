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
	// shareInterval is the time between two rounds of dividing the caps, before
	// jitter.
	shareInterval = time.Second
	// shareTimeout is the longest duration of one round.
	shareTimeout = 5 * time.Second
)

// shareLoop renews the instance's shares of the caps at intervals until ctx ends.
func (a *Agent) shareLoop(ctx context.Context) {
	for wait.For(ctx, a.jitter(shareInterval)) {
		configs, maxRequestTime := a.capConfigs()
		if len(configs) == 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, shareTimeout)
		if err := a.allocator.Reconcile(call, configs, maxRequestTime); err != nil && ctx.Err() == nil {
			a.stats.StoreFailed.Add(1)
			klog.V(1).InfoS("renewal of shares failed", "err", err)
		}
		cancel()
	}
}

// capConfigs returns the configured caps on requests in flight, by region, and the
// longest deadline of a request to any listed service, which bounds how long a request
// may take.
func (a *Agent) capConfigs() ([]share.CapConfig, time.Duration) {
	_, t, _ := a.log.Current()
	list, _ := a.directory.get()
	byRegion := make(map[string]*share.CapConfig)
	seen := make(map[[2]string]bool)
	var maxRequestTime time.Duration
	for _, u := range list.Upstreams {
		key := [2]string{u.Service, u.Region}
		if seen[key] {
			continue
		}
		seen[key] = true
		path := tree.ServicePath(u.Service) + "/regions/" + u.Region
		maxRequestTime = max(maxRequestTime, t.Duration(path, tree.KeyDeadline))
		if total := t.Int(path, tree.KeyMaxInFlight); total > 0 {
			addCap(byRegion, t, u, total)
		}
	}
	var out []share.CapConfig
	for _, config := range byRegion {
		slices.SortFunc(config.Caps, func(a, b share.Cap) int { return cmp.Compare(a.Service, b.Service) })
		out = append(out, *config)
	}
	slices.SortFunc(out, func(a, b share.CapConfig) int { return cmp.Compare(a.Region, b.Region) })
	return out, maxRequestTime
}

// addCap adds the cap total for the upstream's service to its region's configuration.
func addCap(byRegion map[string]*share.CapConfig, t *tree.Tree, u model.Upstream, total int) {
	config := byRegion[u.Region]
	if config == nil {
		path := tree.RegionPath(u.Region)
		config = &share.CapConfig{Region: u.Region, Floor: t.Float(path, tree.KeyCapFloor), Seats: t.Int(path, tree.KeyCapSeats)}
		byRegion[u.Region] = config
	}
	config.Caps = append(config.Caps, share.Cap{Service: u.Service, Total: total})
}

// capLimits reports the entry's usage of the caps to the allocator and returns the
// entry's limits.
func (a *Agent) capLimits(usage []*pb.CapUsage) []*pb.CapLimit {
	reported := make([]share.CapUsage, len(usage))
	for i, u := range usage {
		reported[i] = share.CapUsage{Service: u.GetService(), Region: u.GetRegion(), Usage: share.Usage{
			InFlight: int(u.GetInFlight()), Refused: int(u.GetRefused()), Limit: int(u.GetLimit()),
		}}
	}
	var out []*pb.CapLimit
	for _, l := range a.allocator.ApplyUsage(reported) {
		out = append(out, &pb.CapLimit{
			Service: l.Service, Region: l.Region,
			Floor: uint32(l.Floor), FloorUntil: l.FloorUntil, Grant: uint32(l.Grant), GrantUntil: l.GrantUntil,
		})
	}
	return out
}
