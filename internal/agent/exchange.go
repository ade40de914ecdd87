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
	// probeTimeout is the timeout of one direct exchange. Indirect probes take up to
	// twice as long, because the relay's own probe has the same timeout.
	probeTimeout = 400 * time.Millisecond
	// maxUpdates is the largest number of gossiped member updates in one message.
	maxUpdates = 8
	// maxRecords is the largest number of records in one message.
	maxRecords = 64
	// syncThreshold is the number of consecutive peers with a different digest after
	// which whole failure domains are compared. One or two such peers are usual while
	// an update propagates.
	syncThreshold = 3
	// maxSyncDomains is the largest number of failure domains that one comparison
	// covers.
	maxSyncDomains = 4
	// maxAnnounced is the number of members to which a change of the own member is
	// sent at once.
	maxAnnounced = 8
	// maxFollowUps is the largest number of additional probes in a period in which
	// a member did not answer; they go to members of the same failure domain.
	maxFollowUps = 4
	// rejoinEvery is the number of probe periods between a reader's attempts to
	// reach an instance that is dead or not in the membership table.
	rejoinEvery = 5
)

// probeLoop runs a round of probes each period, after a random initial delay of up
// to one period, until ctx ends.
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

// probePeriod probes the targets of this period and, for each that does not answer,
// another member of its failure domain. The argument differing is the number of
// consecutive peers whose digest differed so far; the updated number is returned.
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
			due = append(due, a.randomInDomain(m)...)
		}
		if differing >= syncThreshold {
			differing = 0
			a.syncDomains(ctx, m)
		}
	}
	return differing
}

// randomInDomain returns a random alive member of m's failure domain, or nothing if
// there is none.
func (a *Agent) randomInDomain(m membership.Member) []membership.Member {
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	if next, ok := a.prober.RandomInDomain(m); ok {
		return []membership.Member{next}
	}
	return nil
}

// rejoin lets a reader exchange state with a random instance that is dead, or that
// is in the seeds or the platform's list but not in the membership table. Without
// it, two sides of a long network partition would consider each other dead for ever.
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
	for _, addr := range slices.Concat(a.opt.Seeds, a.directory.agentAddresses()) {
		if !known[addr] {
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) == 0 {
		return
	}
	addr := addrs[a.intN(len(addrs))]
	dead := a.table.DeadMembers()
	req := a.exchangeRequest(dead[:min(maxUpdates, len(dead))])
	req.Want = []string{a.table.Self().Domain}
	if reply, err := a.exchange(ctx, addr, req); err == nil {
		a.applyReply(ctx, reply)
	}
}

// probeTargets returns the next member of the probe scope and, for a reader, a
// random member of another failure domain.
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

// probe exchanges state with a member. If the member does not answer, it is probed
// indirectly and, if that fails too, marked as suspect. The results are whether both
// sides have the same live members, and whether the member answered the direct probe.
func (a *Agent) probe(ctx context.Context, m membership.Member) (same, ok bool) {
	req := a.exchangeRequest(a.table.NextUpdates(maxUpdates))
	req.Updates = append(req.Updates, a.notAliveState(m.ID)...)
	reply, err := a.exchange(ctx, m.Agent, req)
	if err == nil {
		a.applyReply(ctx, reply)
		return a.table.Digest() == reply.GetDigest(), true
	}
	if ctx.Err() != nil || a.probeIndirectly(ctx, m) {
		return false, false
	}
	a.table.MarkSuspect(time.Now(), m.ID)
	return false, false
}

// probeIndirectly asks up to membership.MaxRelays peers to probe m, and reports
// whether m answered one of them.
func (a *Agent) probeIndirectly(ctx context.Context, m membership.Member) bool {
	a.proberMu.Lock()
	relays := a.prober.RelaysFor(m.ID)
	a.proberMu.Unlock()
	var wg sync.WaitGroup
	reached := make([]bool, len(relays))
	for i, r := range relays {
		wg.Go(func() {
			req := a.exchangeRequest(nil)
			req.Relay = rpc.MemberToProto(m)
			reply, err := a.opt.Peers.Exchange(withTimeout(ctx, 2*probeTimeout), r.Agent, req)
			reached[i] = err == nil && reply.GetRelayed()
		})
	}
	wg.Wait()
	return slices.Contains(reached, true)
}

// withTimeout is context.WithTimeout without a cancel function. The context's
// resources are released when d has passed or ctx ends.
func withTimeout(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// exchange sends an exchange request to the agent at addr, with probeTimeout, and
// counts the result.
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

// exchangeRequest returns a request with the versions of the own state and the given
// member updates.
func (a *Agent) exchangeRequest(updates []membership.Member) *pb.ExchangeRequest {
	return &pb.ExchangeRequest{
		From:      rpc.MemberToProto(a.table.Self()),
		Revision:  a.log.Revision(),
		Directory: a.directory.version(),
		Digest:    a.table.Digest(),
		Updates:   rpc.MembersToProto(updates),
		Draining:  a.drainingIDs(),
	}
}

// HandleExchange applies the member updates in a peer's probe and returns a reply
// with the state that the peer lacks. If the request names a member to relay a probe
// to, that member is probed first. If the peer has newer state, it is fetched in the
// background.
func (a *Agent) HandleExchange(ctx context.Context, req *pb.ExchangeRequest) *pb.ExchangeReply {
	from := rpc.MemberFromProto(req.GetFrom())
	a.mergeMembers(ctx, from, req.GetUpdates())
	reply := &pb.ExchangeReply{
		From:      rpc.MemberToProto(a.table.Self()),
		Revision:  a.log.Revision(),
		Directory: a.directory.version(),
		Updates:   rpc.MembersToProto(a.updatesFor(req)),
		Draining:  a.drainingIDs(),
	}
	a.draining.apply(time.Now(), req.GetDraining())
	reply.Updates = append(reply.Updates, a.notAliveState(from.ID)...)
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
		reply.Relayed = a.relayProbe(ctx, rpc.MemberFromProto(req.GetRelay()))
	}
	if req.GetRevision() > a.log.Revision() || req.GetDirectory() > a.directory.version() {
		go a.pull(context.WithoutCancel(ctx), from)
	}
	return reply
}

// notAliveState returns the own entry for the member with the given ID if its state
// is not Alive, so that the member can refute it when the entry is sent to it.
func (a *Agent) notAliveState(id string) []*pb.Member {
	m, ok := a.table.Get(id)
	if !ok || m.State == membership.Alive {
		return nil
	}
	return []*pb.Member{rpc.MemberToProto(m)}
}

// mergeMembers applies member updates from a peer. Updates that the table disputes
// are sent to the members they are about, which refute them if they are live.
func (a *Agent) mergeMembers(ctx context.Context, from membership.Member, updates []*pb.Member) {
	disputed := a.table.Merge(time.Now(), from, rpc.MembersFromProto(updates)...)
	for _, m := range disputed {
		go a.requestRefutation(context.WithoutCancel(ctx), m)
	}
}

// requestRefutation sends m's disputed state to m and applies its reply, in which a
// live member refutes that state with a higher incarnation.
func (a *Agent) requestRefutation(ctx context.Context, m membership.Member) {
	req := a.exchangeRequest(nil)
	req.Updates = []*pb.Member{rpc.MemberToProto(m)}
	if reply, err := a.exchange(ctx, m.Agent, req); err == nil {
		a.applyReply(ctx, reply)
	}
}

// updatesFor returns the members of the failure domains that a request wants, or, if
// it names none, the member updates that are next for gossip.
func (a *Agent) updatesFor(req *pb.ExchangeRequest) []membership.Member {
	want := req.GetWant()
	if len(want) == 0 {
		return a.table.NextUpdates(maxUpdates)
	}
	return a.table.Select(func(m membership.Member) bool {
		return want[0] == allDomains || slices.Contains(want, m.Domain)
	})
}

// digestsToProto converts the digests by failure domain to messages.
func digestsToProto(domains map[string]uint64) []*pb.DomainDigest {
	var out []*pb.DomainDigest
	for d, h := range domains {
		out = append(out, &pb.DomainDigest{Domain: d, Digest: h})
	}
	return out
}

// relayProbe probes m on behalf of a peer and reports whether m answered.
func (a *Agent) relayProbe(ctx context.Context, m membership.Member) bool {
	reply, err := a.exchange(ctx, m.Agent, a.exchangeRequest(nil))
	if err != nil {
		return false
	}
	a.applyReply(ctx, reply)
	return true
}

// applyReply applies the state in a peer's reply, and fetches the rest in the
// background if the peer's revision is still higher afterwards.
func (a *Agent) applyReply(ctx context.Context, reply *pb.ExchangeReply) {
	from := rpc.MemberFromProto(reply.GetFrom())
	a.mergeMembers(ctx, from, reply.GetUpdates())
	a.draining.apply(time.Now(), reply.GetDraining())
	if reply.GetUpstreams() != nil {
		a.directory.set(rpc.DirectoryFromProto(reply.GetUpstreams()))
	}
	a.applyRecords(reply.GetRecords(), from.ID)
	if reply.GetRevision() > a.log.Revision() {
		go a.pull(context.WithoutCancel(ctx), from)
	}
}

// pull fetches records from a peer with a higher revision, or a snapshot if the peer
// no longer has the next records. Only one pull runs at a time; further calls return
// at once.
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
		a.applyRecords(reply.GetRecords(), from.ID)
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

// syncDomains compares the digests of all failure domains with a peer and exchanges
// the full member lists of up to maxSyncDomains that differ. This repairs
// differences left by lost gossip updates (anti-entropy).
func (a *Agent) syncDomains(ctx context.Context, m membership.Member) {
	req := a.exchangeRequest(nil)
	req.Want = []string{a.table.Self().Domain}
	reply, err := a.exchange(ctx, m.Agent, req)
	if err != nil {
		return
	}
	a.applyReply(ctx, reply)
	own := a.table.DomainDigests()
	var want []string
	for _, d := range reply.GetDomains() {
		if own[d.GetDomain()] != d.GetDigest() && len(want) < maxSyncDomains {
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
		a.applyReply(ctx, reply)
	}
}

// announce sends the own state to up to maxAnnounced members at once, and returns
// when all calls have ended.
func (a *Agent) announce(ctx context.Context) {
	var wg sync.WaitGroup
	for i, m := range a.shuffledPeers() {
		if i == maxAnnounced {
			break
		}
		wg.Go(func() {
			reply, err := a.exchange(ctx, m.Agent, a.exchangeRequest(nil))
			if err == nil {
				a.applyReply(ctx, reply)
			}
		})
	}
	wg.Wait()
}
