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
	// pushTimeout is the timeout of one push.
	pushTimeout = time.Second
	// pushInterval is the pause after a push, so that the next push covers a burst of
	// changes.
	pushInterval = 50 * time.Millisecond
	// maxDomainsPushed is the number of other failure domains to which an agent
	// pushes a record that was committed at it, or that it received as a reader from
	// a peer instead of the store.
	maxDomainsPushed = 4
)

// pushLoop pushes new records and upstream lists to peers as they arrive.
func (a *Agent) pushLoop(ctx context.Context) {
	revision, listVersion := a.log.Revision(), a.directory.version()
	for {
		newest, _, logChanged := a.log.Current()
		upstreams, directoryChanged := a.directory.get()
		if newest > revision || upstreams.Version > listVersion {
			revision = a.push(ctx, revision, listVersion)
			listVersion = upstreams.Version
			if !wait.For(ctx, pushInterval) {
				return
			}
			continue
		}
		select {
		case <-logChanged:
		case <-directoryChanged:
		case <-ctx.Done():
			return
		}
	}
}

// push sends the records after revision, and the upstreams if their version is
// higher than listVersion, to the targets of the plan. It returns the revision after
// which the next push starts. If a snapshot was restored in between, the records before
// it are not available and are not sent; peers detect the gap and fetch the snapshot.
func (a *Agent) push(ctx context.Context, revision, listVersion uint64) uint64 {
	req := &pb.PushRequest{From: a.table.Self().Agent}
	newest := a.log.Revision()
	if records, ok := a.log.Since(revision, maxRecords); ok && len(records) > 0 {
		req.Records = rpc.RecordsToProto(records)
		newest = records[len(records)-1].Revision
	}
	if d, _ := a.directory.get(); d.Version > listVersion {
		req.Upstreams = rpc.DirectoryToProto(d)
	}
	toReaders := a.pushToReaders.Swap(false) && len(req.Records) > 0
	var wg sync.WaitGroup
	for _, m := range a.pushTargets(toReaders) {
		wg.Go(func() { a.pushTo(ctx, m, req) })
	}
	wg.Wait()
	return newest
}

// pushTo sends one push to m and counts the result.
func (a *Agent) pushTo(ctx context.Context, m membership.Member, req *pb.PushRequest) {
	call, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	a.stats.Pushes.Add(1)
	if _, err := a.opt.Peers.Push(call, m.Agent, req); err != nil {
		a.stats.PushFailed.Add(1)
	}
}

// pushTargets returns the members to push to: the children and the other readers of
// the plan, and with toReaders also the members from readerTargets.
func (a *Agent) pushTargets(toReaders bool) []membership.Member {
	p := a.plan()
	ids := slices.Concat(p.Children, p.Siblings)
	if toReaders {
		ids = append(ids, a.readerTargets(p)...)
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

// readerTargets returns the IDs of one random reader in each of up to
// maxDomainsPushed other failure domains, and, if the own instance is not a reader,
// the readers of the own failure domain.
func (a *Agent) readerTargets(p fanout.Plan) []string {
	self := a.table.Self()
	all, _ := a.table.All()
	byDomain := make(map[string][]string)
	for _, m := range all {
		if m.Live() {
			byDomain[domainKey(m)] = append(byDomain[domainKey(m)], m.ID)
		}
	}
	own := byDomain[domainKey(self)]
	delete(byDomain, domainKey(self))
	var ids []string
	if !p.Reader {
		ids = readersOf(domainKey(self), own)
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	a.proberMu.Lock()
	a.rnd.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	a.proberMu.Unlock()
	for _, d := range domains[:min(maxDomainsPushed, len(domains))] {
		readers := readersOf(d, byDomain[d])
		ids = append(ids, readers[a.intN(len(readers))])
	}
	return ids
}

// readersOf returns the IDs of the readers of a failure domain whose members are ids.
func readersOf(domain string, ids []string) []string {
	order := fanout.Order(domain, ids)
	return order[:min(fanout.ReadersPerDomain, len(order))]
}

// HandlePush applies the records and upstreams that a peer pushed. If records before
// them are missing, it fetches these from the peer in the background. It returns the
// own revision.
func (a *Agent) HandlePush(ctx context.Context, req *pb.PushRequest) *pb.PushReply {
	if req.GetUpstreams() != nil {
		a.directory.set(rpc.DirectoryFromProto(req.GetUpstreams()))
	}
	if !a.applyRecords(req.GetRecords(), req.GetFrom()) {
		go a.pull(context.WithoutCancel(ctx), membership.Member{Agent: req.GetFrom()})
	}
	return &pb.PushReply{Revision: a.log.Revision()}
}
