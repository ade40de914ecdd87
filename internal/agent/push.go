package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/wait"
)

const (
	// pushTimeout bounds one push.
	pushTimeout = time.Second
	// pushEvery joins changes in a burst into one push.
	pushEvery = 50 * time.Millisecond
	// rumorTo is how many other failure domains a record that did not come from
	// the store is passed on to by each reader.
	rumorTo = 4
)

// pushLoop hands on new records and newer directories as they come.
func (a *Agent) pushLoop(ctx context.Context) {
	revision, list := a.log.Revision(), a.directory.version()
	for {
		newest, _, advanced := a.log.Current()
		upstreams, changed := a.directory.get()
		if newest > revision || upstreams.Version > list {
			revision = a.push(ctx, revision, list)
			list = upstreams.Version
			if !wait.For(ctx, pushEvery) {
				return
			}
			continue
		}
		select {
		case <-advanced:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// push sends what is newer than revision and list to the targets of the plan.
// It returns the revision up to which it got. After a restored snapshot the
// records between are not there; peers notice and fetch it themselves.
func (a *Agent) push(ctx context.Context, revision, list uint64) uint64 {
	req := &pb.PushRequest{From: a.table.Self().Agent}
	newest := a.log.Revision()
	if records, ok := a.log.Since(revision, maxRecords); ok && len(records) > 0 {
		req.Records = rpc.RecordsToProto(records)
		newest = records[len(records)-1].Revision
	}
	if d, _ := a.directory.get(); d.Version > list {
		req.Upstreams = rpc.DirectoryToProto(d)
	}
	rumor := a.rumor.Swap(false) && len(req.Records) > 0
	var wg sync.WaitGroup
	for _, m := range a.pushTargets(rumor) {
		wg.Go(func() { a.pushTo(ctx, m, req) })
	}
	wg.Wait()
	return newest
}

func (a *Agent) pushTo(ctx context.Context, m membership.Member, req *pb.PushRequest) {
	call, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	a.stats.Pushes.Add(1)
	if _, err := a.opt.Peers.Push(call, m.Agent, req); err != nil {
		a.stats.PushFailed.Add(1)
	}
}

// pushTargets returns the own children, the other reader, and for a rumor also
// the readers of the own failure domain and some of others.
func (a *Agent) pushTargets(rumor bool) []membership.Member {
	p := a.plan()
	ids := slices.Concat(p.Children, p.Siblings)
	if rumor {
		ids = append(ids, a.rumorTargets(p)...)
	}
	slices.Sort(ids)
	var out []membership.Member
	for _, id := range slices.Compact(ids) {
		if m, ok := a.table.Get(id); ok && m.ID != a.opt.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

// rumorTargets returns the readers of the own failure domain, for one that is
// no reader, and one reader each of some other domains.
func (a *Agent) rumorTargets(p fanout.Plan) []string {
	self := a.table.Self()
	all, _ := a.table.All()
	byDomain := make(map[string][]string)
	for _, m := range all {
		if m.Live() {
			byDomain[domainName(m)] = append(byDomain[domainName(m)], m.ID)
		}
	}
	own := byDomain[domainName(self)]
	delete(byDomain, domainName(self))
	var ids []string
	if !p.Reader {
		ids = readersOf(domainName(self), own)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	a.proberMu.Lock()
	a.rnd.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	a.proberMu.Unlock()
	for _, d := range domains[:min(rumorTo, len(domains))] {
		readers := readersOf(d, byDomain[d])
		ids = append(ids, readers[a.intN(len(readers))])
	}
	return ids
}

func readersOf(domain string, ids []string) []string {
	order := fanout.Order(domain, ids)
	return order[:min(fanout.Readers, len(order))]
}

// HandlePush takes in what a peer hands on.
func (a *Agent) HandlePush(ctx context.Context, req *pb.PushRequest) *pb.PushReply {
	if req.GetUpstreams() != nil {
		a.directory.set(rpc.DirectoryFromProto(req.GetUpstreams()))
	}
	if !a.apply(req.GetRecords(), req.GetFrom()) {
		go a.pull(context.WithoutCancel(ctx), membership.Member{Agent: req.GetFrom()})
	}
	return &pb.PushReply{Revision: a.log.Revision()}
}
