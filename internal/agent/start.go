package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

const (
	// startCallTimeout is the timeout of one call during the start. Loading the state
	// from a peer or the store may take five times as long.
	startCallTimeout = time.Second
	// maxSnapshotPeers is the largest number of peers that are asked for a snapshot.
	maxSnapshotPeers = 4
	// maxActiveSnapshots is the number of snapshots that an agent sends at one time,
	// so that when a whole rack starts, its requests spread over many peers.
	maxActiveSnapshots = 2
	// allDomains in ExchangeRequest.Want requests the members of all failure domains.
	allDomains = "*"
)

// start joins the other agents and loads a snapshot from one of them, or from the
// store if no peer supplies one. It makes one attempt; the agent's loops fetch what
// is missing afterwards.
func (a *Agent) start(ctx context.Context) {
	for _, addr := range a.startAddresses(ctx) {
		if addr == a.opt.Self.Agent {
			continue
		}
		if err := a.join(ctx, addr); err == nil {
			break
		}
	}
	if a.log.Revision() > 0 {
		a.origin.Store("neighbour's records")
	}
	if a.snapshotFromPeers(ctx) {
		return
	}
	call, cancel := context.WithTimeout(ctx, 5*startCallTimeout)
	defer cancel()
	if err := configlog.NewReader(a.opt.Store, a.log).Bootstrap(call); err != nil {
		klog.InfoS("started without configuration", "err", err)
		return
	}
	a.origin.Store("store")
}

// startAddresses returns the addresses of agents to contact at the start, in random
// order: the seeds and the agents in the platform's list.
func (a *Agent) startAddresses(ctx context.Context) []string {
	addrs := append([]string(nil), a.opt.Seeds...)
	call, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	l, err := a.opt.List.Instances(call, 0, 0)
	if err == nil {
		a.directory.applyPlatformList(l)
		addrs = append(addrs, a.directory.agentAddresses()...)
	}
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	a.rnd.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// join requests the full member list from the agent at addr and adds it to the
// table.
func (a *Agent) join(ctx context.Context, addr string) error {
	call, cancel := context.WithTimeout(ctx, startCallTimeout)
	defer cancel()
	req := a.exchangeRequest(nil)
	req.Want = []string{allDomains}
	reply, err := a.opt.Peers.Exchange(call, addr, req)
	if err != nil {
		return err
	}
	a.table.AddMembers(time.Now(), rpc.MembersFromProto(reply.GetUpdates()))
	reply.Updates = nil
	a.applyReply(ctx, reply)
	return nil
}

// snapshotFromPeers loads a snapshot from a random live member, those of the own
// region first, and reports whether one was loaded.
func (a *Agent) snapshotFromPeers(ctx context.Context) bool {
	for i, m := range a.shuffledPeers() {
		if i == maxSnapshotPeers || ctx.Err() != nil {
			return false
		}
		if a.snapshotFrom(ctx, m) {
			a.origin.Store("neighbour " + m.ID)
			return true
		}
	}
	return false
}

// snapshotFrom loads a snapshot from m if it is newer than the own state, and reports
// whether it did.
func (a *Agent) snapshotFrom(ctx context.Context, m membership.Member) bool {
	call, cancel := context.WithTimeout(ctx, 5*startCallTimeout)
	defer cancel()
	var parts configlog.Assembler
	if err := a.opt.Peers.Snapshot(call, m.Agent, a.log.Revision(), parts.Add); err != nil {
		klog.V(1).InfoS("snapshot fetch failed", "from", m.ID, "err", err)
		return false
	}
	s, err := parts.Snapshot()
	return err == nil && a.log.Restore(s)
}

// shuffledPeers returns the other live members in random order, those of the own
// region first.
func (a *Agent) shuffledPeers() []membership.Member {
	self := a.table.Self()
	all := a.table.Select(func(m membership.Member) bool { return m.ID != self.ID && m.Live() })
	a.proberMu.Lock()
	a.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	a.proberMu.Unlock()
	var near, far []membership.Member
	for _, m := range all {
		if m.Region == self.Region {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return append(near, far...)
}

// HandleSnapshot sends the parts of a snapshot if its revision is higher than the
// request's Above, and nothing otherwise. It returns rpc.ErrBusy while
// maxActiveSnapshots other snapshots are being sent, or the error of send.
func (a *Agent) HandleSnapshot(req *pb.SnapshotRequest, send func(*pb.SnapshotPart) error) error {
	if a.log.Revision() <= req.GetAbove() {
		return nil
	}
	if a.activeSnapshots.Add(1) > maxActiveSnapshots {
		a.activeSnapshots.Add(-1)
		return rpc.ErrBusy
	}
	defer a.activeSnapshots.Add(-1)
	a.stats.SnapshotsServed.Add(1)
	for p := range a.log.Snapshot().Parts(nil) {
		if err := send(p); err != nil {
			return err
		}
	}
	return nil
}
