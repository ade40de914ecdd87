package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/wait"
)

// Names of the processes beside an agent.
const (
	ProcessEntry    = "entry"
	ProcessDirector = "director"
)

// process is what the agent knows of a process beside it.
type process struct {
	// following counts its open streams.
	following int
	leaving   bool
}

// viewEvery joins changes in a burst into one view.
const viewEvery = 20 * time.Millisecond

// HandleFollow sends the state and then every change of it, until ctx ends or
// send fails. While a process follows, its address is announced to the peers.
func (a *Agent) HandleFollow(ctx context.Context, req *pb.FollowRequest, send func(*pb.View) error) error {
	a.follows(req.GetProcess(), 1)
	defer a.follows(req.GetProcess(), -1)
	f := follower{process: req.GetProcess()}
	for {
		newest, _, advanced := a.log.Current()
		list, listed := a.directory.get()
		members, joined := a.table.All()
		_, heard := a.draining.list(time.Now())
		if err := f.send(a, newest, list, members, send); err != nil {
			return err
		}
		select {
		case <-advanced:
		case <-listed:
		case <-joined:
		case <-heard:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !wait.For(ctx, viewEvery) {
			return ctx.Err()
		}
	}
}

// follower is what one stream has been sent.
type follower struct {
	process  string
	started  bool
	revision uint64
	list     uint64
	// upstreams is how many upstreams were sent; a change of the settings can
	// change which ones the process needs.
	upstreams int
}

func (f *follower) send(a *Agent, newest uint64, list model.Directory, members []membership.Member, send func(*pb.View) error) error {
	v := &pb.View{Revision: f.revision, Members: rpc.MembersToProto(members), Draining: a.drainingNow()}
	records, whole := a.log.Since(f.revision, maxRecords)
	if f.started && whole {
		v.Records = rpc.RecordsToProto(records)
		if n := len(records); n > 0 {
			v.Revision = records[n-1].Revision
		}
	} else {
		revision, err := f.sendSnapshot(a, send)
		if err != nil {
			return err
		}
		v.Revision = revision
	}
	// Which upstreams are needed follows from the list and the settings alone.
	if !f.started || list.Version > f.list || v.Revision > f.revision {
		needed := f.needed(a, list)
		if !f.started || list.Version > f.list || len(needed.Upstreams) != f.upstreams {
			v.Directory = rpc.DirectoryToProto(needed)
		}
		f.upstreams = len(needed.Upstreams)
	}
	f.started, f.revision, f.list = true, v.Revision, list.Version
	if err := send(v); err != nil {
		return err
	}
	if f.revision < newest {
		return f.send(a, newest, list, members, send)
	}
	return nil
}

// needed returns the part of the directory that the process decides by. A
// director only needs to know which services there are and where; an entry the
// upstreams of the regions that it may send to.
func (f *follower) needed(a *Agent, list model.Directory) model.Directory {
	_, t, _ := a.log.Current()
	switch f.process {
	case ProcessDirector:
		return model.OnePerServiceRegion(list)
	case ProcessEntry:
		return model.Reachable(t, a.opt.Self.Region, list)
	}
	return list
}

// sendSnapshot sends the state in parts and returns its revision. An entry has no
// use for the blocks of client addresses, which are by far the most of it.
func (f *follower) sendSnapshot(a *Agent, send func(*pb.View) error) (uint64, error) {
	s := a.log.Snapshot()
	s.Changes = nil
	var skip func(string) bool
	if f.process == ProcessEntry {
		skip = tree.IsBlocksPath
	}
	first := true
	for p := range s.Parts(skip) {
		if err := send(&pb.View{Snapshot: p, First: first, More: true, Revision: s.Revision}); err != nil {
			return 0, err
		}
		first = false
	}
	return s.Revision, nil
}

// follows counts a stream and announces whether the process can be used.
func (a *Agent) follows(name string, by int) {
	a.localMu.Lock()
	p := a.process(name)
	p.following += by
	if by > 0 {
		p.leaving = false
	}
	a.localMu.Unlock()
	a.announceProcesses()
}

// process returns the state of a process. The caller holds localMu.
func (a *Agent) process(name string) *process {
	p := a.processes[name]
	if p == nil {
		p = new(process)
		a.processes[name] = p
	}
	return p
}

// HandleReport takes in how a process beside the agent fares.
func (a *Agent) HandleReport(req *pb.ReportRequest) *pb.ReportReply {
	a.localMu.Lock()
	p := a.process(req.GetProcess())
	p.leaving = req.GetLeaving()
	a.localMu.Unlock()
	a.announceProcesses()
	a.draining.hear(time.Now(), req.GetDraining())
	return &pb.ReportReply{Revision: a.log.Revision(), Limits: a.limits(req.GetUsage())}
}

// announceProcesses tells the peers which processes can be used, if that has
// changed.
func (a *Agent) announceProcesses() {
	a.localMu.Lock()
	entry, director := a.address(ProcessEntry, a.opt.Self.Entry), a.address(ProcessDirector, a.opt.Self.Director)
	before := a.table.Self()
	a.table.Announce(time.Now(), func(m *membership.Member) { m.Entry, m.Director = entry, director })
	a.localMu.Unlock()
	if after := a.table.Self(); after.Incarnation != before.Incarnation {
		klog.InfoS("processes changed", "entry", entry, "director", director)
		go a.announce(context.Background())
	}
}

// address returns the address of a process if it can be used.
func (a *Agent) address(name, addr string) string {
	if p := a.processes[name]; p != nil && p.following > 0 && !p.leaving {
		return addr
	}
	return ""
}
