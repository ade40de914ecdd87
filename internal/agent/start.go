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
	// startCall bounds one call during the start.
	startCall = time.Second
	// startTries is how many neighbours are asked for their state.
	startTries = 4
	// maxServing is how many snapshots an agent hands out at one time, so that a
	// rack that starts at once spreads over many neighbours.
	maxServing = 2
	// allDomains asks for every member.
	allDomains = "*"
)

// start joins the other agents and takes over their state; without any it reads
// the store. It returns when it has tried once, and the loops do the rest.
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
	call, cancel := context.WithTimeout(ctx, 5*startCall)
	defer cancel()
	if err := configlog.NewReader(a.opt.Store, a.log).Bootstrap(call); err != nil {
		klog.InfoS("start without configuration", "err", err)
		return
	}
	a.origin.Store("store")
}

// startAddresses returns agents to ask, in random order: the seeds, and those
// of the platform's list.
func (a *Agent) startAddresses(ctx context.Context) []string {
	addrs := append([]string(nil), a.opt.Seeds...)
	call, cancel := context.WithTimeout(ctx, startCall)
	defer cancel()
	l, err := a.opt.List.Instances(call, 0, 0)
	if err == nil {
		a.directory.take(l)
		addrs = append(addrs, a.directory.nodes()...)
	}
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	a.rnd.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// join asks one agent for all members.
func (a *Agent) join(ctx context.Context, addr string) error {
	call, cancel := context.WithTimeout(ctx, startCall)
	defer cancel()
	req := a.exchangeRequest(nil)
	req.Want = []string{allDomains}
	reply, err := a.opt.Peers.Exchange(call, addr, req)
	if err != nil {
		return err
	}
	a.table.Learn(time.Now(), rpc.MembersFromProto(reply.GetUpdates()))
	reply.Updates = nil
	a.takeReply(ctx, reply)
	return nil
}

// snapshotFromPeers loads the state from a random live member, near ones first.
func (a *Agent) snapshotFromPeers(ctx context.Context) bool {
	for i, m := range a.neighbours() {
		if i == startTries || ctx.Err() != nil {
			return false
		}
		if a.snapshotFrom(ctx, m) {
			a.origin.Store("neighbour " + m.ID)
			return true
		}
	}
	return false
}

// snapshotFrom takes over a member's state if it is newer.
func (a *Agent) snapshotFrom(ctx context.Context, m membership.Member) bool {
	call, cancel := context.WithTimeout(ctx, 5*startCall)
	defer cancel()
	var parts configlog.Assembler
	if err := a.opt.Peers.Snapshot(call, m.Agent, a.log.Revision(), parts.Add); err != nil {
		klog.V(1).InfoS("no snapshot", "from", m.ID, "err", err)
		return false
	}
	s, err := parts.Snapshot()
	return err == nil && a.log.Restore(s)
}

// neighbours returns the live members in random order, those of the own region
// first.
func (a *Agent) neighbours() []membership.Member {
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

// HandleSnapshot returns the parts of the own state if it is newer than above,
// or none while too many peers are being served.
func (a *Agent) HandleSnapshot(req *pb.SnapshotRequest, send func(*pb.SnapshotPart) error) error {
	if a.log.Revision() <= req.GetAbove() {
		return nil
	}
	if a.serving.Add(1) > maxServing {
		a.serving.Add(-1)
		return rpc.ErrBusy
	}
	defer a.serving.Add(-1)
	a.stats.SnapshotsServed.Add(1)
	for p := range a.log.Snapshot().Parts(nil) {
		if err := send(p); err != nil {
			return err
		}
	}
	return nil
}
