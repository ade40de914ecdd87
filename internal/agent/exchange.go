package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/wait"
)

const (
	// probeTimeout bounds one probe, and then one round of relayed probes.
	probeTimeout = 400 * time.Millisecond
	// maxUpdates is how many member updates ride on one message.
	maxUpdates = 8
	// maxRecords is how many records one reply carries.
	maxRecords = 64
	// syncAfter is how many differing digests in a row start a comparison of
	// whole failure domains; one or two are usual while an update spreads.
	syncAfter = 3
	// syncDomains is how many failure domains one comparison covers.
	syncDomains = 4
	// announceTo is how many members hear at once of a change of the own.
	announceTo = 8
	// maxFollowUps is how many more members of a failure domain are probed in
	// the period in which one of it did not answer.
	maxFollowUps = 4
	// rejoinEvery is the number of periods between attempts of a reader to reach
	// an instance that is believed dead or was never heard of.
	rejoinEvery = 5
)

// probeLoop probes one member each period.
func (a *Agent) probeLoop(ctx context.Context) {
	if !wait.For(ctx, time.Duration(a.intN(int(a.opt.ProbePeriod)))) {
		return
	}
	tick := time.NewTicker(a.opt.ProbePeriod)
	defer tick.Stop()
	differing := 0
	for period := 1; ; period++ {
		a.table.Tick(time.Now())
		differing = a.probePeriod(ctx, differing)
		if period%rejoinEvery == 0 {
			a.rejoin(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// probePeriod probes the members that are due, and others beside those that do
// not answer. Differing counts the peers in a row that hold other members.
func (a *Agent) probePeriod(ctx context.Context, differing int) int {
	due := a.probeTargets()
	followUps := 0
	for len(due) > 0 && ctx.Err() == nil {
		m := due[0]
		due = due[1:]
		same, ok := a.probe(ctx, m)
		switch {
		case ok && same:
			differing = 0
		case ok:
			differing++
		case followUps < maxFollowUps:
			followUps++
			due = append(due, a.beside(m)...)
		}
		if differing >= syncAfter {
			differing = 0
			a.syncDomains(ctx, m)
		}
	}
	return differing
}

func (a *Agent) beside(m membership.Member) []membership.Member {
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	if next, ok := a.prober.RandomInDomain(m); ok {
		return []membership.Member{next}
	}
	return nil
}

// rejoin lets a reader try to reach an instance that is believed dead, or that
// only the seeds or the platform's list name. Without it two parts that were
// cut apart for long would each take the other for dead for ever.
func (a *Agent) rejoin(ctx context.Context) {
	if !a.plan().Reader {
		return
	}
	known := make(map[string]bool)
	all, _ := a.table.All()
	for _, m := range all {
		known[m.Agent] = m.Live() || m.State == membership.Leaving
	}
	known[a.opt.Self.Agent] = true
	var addrs []string
	for _, m := range a.table.DeadMembers() {
		addrs = append(addrs, m.Agent)
	}
	for _, addr := range slices.Concat(a.opt.Seeds, a.directory.nodes()) {
		if !known[addr] {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) == 0 {
		return
	}
	addr := addrs[a.intN(len(addrs))]
	lost := a.table.DeadMembers()
	req := a.exchangeRequest(lost[:min(maxUpdates, len(lost))])
	req.Want = []string{a.table.Self().Domain}
	if reply, err := a.exchange(ctx, addr, req); err == nil {
		a.takeReply(ctx, reply)
	}
}

// probeTargets returns the next member of the own scope and, for a reader, one
// of another failure domain.
func (a *Agent) probeTargets() []membership.Member {
	reader := a.plan().Reader
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	var out []membership.Member
	if m, ok := a.prober.Next(); ok {
		out = append(out, m)
	}
	if m, ok := a.prober.RandomOutsideDomain(); reader && ok {
		out = append(out, m)
	}
	return out
}

// probe exchanges with a member, over others if it does not answer. It reports
// whether both hold the same members, and whether the member answered at all.
func (a *Agent) probe(ctx context.Context, m membership.Member) (same, ok bool) {
	req := a.exchangeRequest(a.table.NextUpdates(maxUpdates))
	req.Updates = append(req.Updates, a.doubts(m.ID)...)
	reply, err := a.exchange(ctx, m.Agent, req)
	if err == nil {
		a.takeReply(ctx, reply)
		return a.table.Digest() == reply.GetDigest(), true
	}
	if ctx.Err() != nil || a.relayed(ctx, m) {
		return false, false
	}
	a.table.MarkSuspect(time.Now(), m.ID)
	return false, false
}

// relayed asks others to probe a member, and reports whether one got through.
func (a *Agent) relayed(ctx context.Context, m membership.Member) bool {
	a.proberMu.Lock()
	relays := a.prober.RelaysFor(m.ID)
	a.proberMu.Unlock()
	var wg sync.WaitGroup
	got := make([]bool, len(relays))
	for i, r := range relays {
		wg.Go(func() {
			req := a.exchangeRequest(nil)
			req.Relay = rpc.MemberToProto(m)
			reply, err := a.opt.Peers.Exchange(withTimeout(ctx, 2*probeTimeout), r.Agent, req)
			got[i] = err == nil && reply.GetRelayed()
		})
	}
	wg.Wait()
	return slices.Contains(got, true)
}

// withTimeout is context.WithTimeout for calls that end with the timeout.
func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func (a *Agent) exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := a.opt.Peers.Exchange(call, addr, req)
	a.stats.Exchanges.Add(1)
	if err != nil {
		a.stats.ExchangeFailed.Add(1)
	}
	return reply, err
}

func (a *Agent) exchangeRequest(updates []membership.Member) *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		From:      rpc.MemberToProto(a.table.Self()),
		Revision:  a.log.Revision(),
		Directory: a.directory.version(),
		Digest:    a.table.Digest(),
		Updates:   rpc.MembersToProto(updates),
		Draining:  a.drainingNow(),
	}
}

// HandleExchange answers a peer's probe with whatever the peer lacks.
func (a *Agent) HandleExchange(ctx context.Context, req *pb.ExchangeRequest) *pb.ExchangeReply {
	from := rpc.MemberFromProto(req.GetFrom())
	a.merge(ctx, from, req.GetUpdates())
	reply := &pb.ExchangeReply{
		From:      rpc.MemberToProto(a.table.Self()),
		Revision:  a.log.Revision(),
		Directory: a.directory.version(),
		Updates:   rpc.MembersToProto(a.updatesFor(req)),
		Draining:  a.drainingNow(),
	}
	a.draining.hear(time.Now(), req.GetDraining())
	reply.Updates = append(reply.Updates, a.doubts(from.ID)...)
	reply.Digest = a.table.Digest()
	if reply.Digest != req.GetDigest() && len(req.GetWant()) > 0 {
		reply.Domains = digestsToProto(a.table.DomainDigests())
	}
	if records, ok := a.log.Since(req.GetRevision(), maxRecords); ok {
		reply.Records = rpc.RecordsToProto(records)
	}
	if list, _ := a.directory.get(); list.Version > req.GetDirectory() {
		reply.Upstreams = rpc.DirectoryToProto(list)
	}
	if req.GetRelay() != nil {
		reply.Relayed = a.relayFor(ctx, rpc.MemberFromProto(req.GetRelay()))
	}
	if req.GetRevision() > a.log.Revision() || req.GetDirectory() > a.directory.version() {
		go a.pull(context.WithoutCancel(ctx), from)
	}
	return reply
}

// doubts returns the own belief about a member if it is not that the member is
// alive, so that the member can refute it.
func (a *Agent) doubts(id string) []*pb.Member {
	m, ok := a.table.Get(id)
	if !ok || m.State == membership.Alive {
		return nil
	}
	return []*pb.Member{rpc.MemberToProto(m)}
}

// merge takes in what a peer believes. Members whom it wrongly takes for failed
// are told, and refute.
func (a *Agent) merge(ctx context.Context, from membership.Member, updates []*pb.Member) {
	disputed := a.table.Merge(time.Now(), from, rpc.MembersFromProto(updates)...)
	for _, m := range disputed {
		go a.challenge(context.WithoutCancel(ctx), m)
	}
}

// challenge tells a member that others take it for failed.
func (a *Agent) challenge(ctx context.Context, m membership.Member) {
	req := a.exchangeRequest(nil)
	req.Updates = []*pb.Member{rpc.MemberToProto(m)}
	if reply, err := a.exchange(ctx, m.Agent, req); err == nil {
		a.takeReply(ctx, reply)
	}
}

// updatesFor returns the members that a request asks for, or else what is to be
// passed on.
func (a *Agent) updatesFor(req *pb.ExchangeRequest) []membership.Member {
	want := req.GetWant()
	if len(want) == 0 {
		return a.table.NextUpdates(maxUpdates)
	}
	return a.table.Select(func(m membership.Member) bool {
		return want[0] == allDomains || slices.Contains(want, m.Domain)
	})
}

func digestsToProto(domains map[string]uint64) []*pb.DomainDigest {
	var out []*pb.DomainDigest
	for d, h := range domains {
		out = append(out, &pb.DomainDigest{Domain: d, Digest: h})
	}
	return out
}

func (a *Agent) relayFor(ctx context.Context, m membership.Member) bool {
	reply, err := a.exchange(ctx, m.Agent, a.exchangeRequest(nil))
	if err != nil {
		return false
	}
	a.takeReply(ctx, reply)
	return true
}

// takeReply takes in what a peer holds, and fetches the rest if the peer is
// further ahead than one reply can carry.
func (a *Agent) takeReply(ctx context.Context, reply *pb.ExchangeReply) {
	from := rpc.MemberFromProto(reply.GetFrom())
	a.merge(ctx, from, reply.GetUpdates())
	a.draining.hear(time.Now(), reply.GetDraining())
	if reply.GetUpstreams() != nil {
		a.directory.set(rpc.DirectoryFromProto(reply.GetUpstreams()))
	}
	a.apply(reply.GetRecords(), from.ID)
	if reply.GetRevision() > a.log.Revision() {
		go a.pull(context.WithoutCancel(ctx), from)
	}
}

// pull fetches records from a peer that is ahead, or its whole state if it no
// longer holds the records. One pull runs at a time.
func (a *Agent) pull(ctx context.Context, from membership.Member) {
	if !a.pulling.CompareAndSwap(false, true) {
		return
	}
	defer a.pulling.Store(false)
	for {
		before := a.log.Revision()
		reply, err := a.exchange(ctx, from.Agent, a.exchangeRequest(nil))
		if err != nil {
			return
		}
		a.apply(reply.GetRecords(), from.ID)
		if reply.GetUpstreams() != nil {
			a.directory.set(rpc.DirectoryFromProto(reply.GetUpstreams()))
		}
		if a.log.Revision() >= reply.GetRevision() {
			return
		}
		if a.log.Revision() == before && !a.snapshotFrom(ctx, from) {
			return
		}
	}
}

// syncDomains compares the members of whole failure domains with a peer. This
// heals what the spreading of single updates has missed.
func (a *Agent) syncDomains(ctx context.Context, m membership.Member) {
	req := a.exchangeRequest(nil)
	req.Want = []string{a.table.Self().Domain}
	reply, err := a.exchange(ctx, m.Agent, req)
	if err != nil {
		return
	}
	a.takeReply(ctx, reply)
	mine := a.table.DomainDigests()
	var want []string
	for _, d := range reply.GetDomains() {
		if mine[d.GetDomain()] != d.GetDigest() && len(want) < syncDomains {
			want = append(want, d.GetDomain())
		}
	}
	if len(want) == 0 {
		return
	}
	var updates []membership.Member
	for _, d := range want {
		updates = append(updates, a.table.DomainMembers(d)...)
	}
	req = a.exchangeRequest(updates)
	req.Want = want
	if reply, err = a.exchange(ctx, m.Agent, req); err == nil {
		a.takeReply(ctx, reply)
	}
}

// announce tells some members at once of a change of the own.
func (a *Agent) announce(ctx context.Context) {
	var wg sync.WaitGroup
	for i, m := range a.neighbours() {
		if i == announceTo {
			break
		}
		wg.Go(func() {
			reply, err := a.exchange(ctx, m.Agent, a.exchangeRequest(nil))
			if err == nil {
				a.takeReply(ctx, reply)
			}
		})
	}
	wg.Wait()
}
