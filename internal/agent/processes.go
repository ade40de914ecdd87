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

// Names of the other processes of an instance, as they state them in FollowRequest
// and ReportRequest.
const (
	// ProcessEntry is the name of the entry.
	ProcessEntry = "entry"
	// ProcessDirector is the name of the director.
	ProcessDirector = "director"
)

// process is the state of another process of the instance.
type process struct {
	// streams is the number of the process's open streams.
	streams int
	// leaving is whether the process reported that it stops.
	leaving bool
}

// viewInterval is the pause after a change before the next view is sent, so that one
// view covers a burst of changes.
const viewInterval = 20 * time.Millisecond

// HandleFollow sends the state to another process of the instance, and then every
// change, until ctx ends or send fails. It returns the error of ctx or of send. The
// address of a process is announced to peers while it has a stream open.
func (a *Agent) HandleFollow(ctx context.Context, req *pb.FollowRequest, send func(*pb.View) error) error {
	a.countStream(req.GetProcess(), 1)
	defer a.countStream(req.GetProcess(), -1)
	vs := viewStream{process: req.GetProcess()}
	for {
		newest, _, logChanged := a.log.Current()
		list, directoryChanged := a.directory.get()
		members, membersChanged := a.table.All()
		_, drainingChanged := a.draining.list(time.Now())
		if err := vs.send(a, newest, list, members, send); err != nil {
			return err
		}
		select {
		case <-logChanged:
		case <-directoryChanged:
		case <-membersChanged:
		case <-drainingChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !wait.For(ctx, viewInterval) {
			return ctx.Err()
		}
	}
}

// viewStream is the state of one stream of views: what was sent on it.
type viewStream struct {
	process     string
	started     bool
	revision    uint64
	listVersion uint64
	// upstreamCount is the number of upstreams that the process needed at the last
	// view. A change of the configuration can change which ones it needs.
	upstreamCount int
}

// send sends a view with everything that has changed since the last one, and repeats
// this until the stream has reached the revision newest. It sends a snapshot first
// on a new stream, or if the records since the last view are no longer available.
func (vs *viewStream) send(a *Agent, newest uint64, list model.Directory, members []membership.Member, send func(*pb.View) error) error {
	v := &pb.View{Revision: vs.revision, Members: rpc.MembersToProto(members), Draining: a.drainingIDs()}
	records, complete := a.log.Since(vs.revision, maxRecords)
	if vs.started && complete {
		v.Records = rpc.RecordsToProto(records)
		if n := len(records); n > 0 {
			v.Revision = records[n-1].Revision
		}
	} else {
		revision, err := vs.sendSnapshot(a, send)
		if err != nil {
			return err
		}
		v.Revision = revision
	}
	// The needed upstreams depend on the list and the configuration only.
	if !vs.started || list.Version > vs.listVersion || v.Revision > vs.revision {
		needed := vs.neededUpstreams(a, list)
		if !vs.started || list.Version > vs.listVersion || len(needed.Upstreams) != vs.upstreamCount {
			v.Directory = rpc.DirectoryToProto(needed)
		}
		vs.upstreamCount = len(needed.Upstreams)
	}
	vs.started, vs.revision, vs.listVersion = true, v.Revision, list.Version
	if err := send(v); err != nil {
		return err
	}
	if vs.revision < newest {
		return vs.send(a, newest, list, members, send)
	}
	return nil
}

// neededUpstreams returns the part of list that the process uses: for a director, one
// upstream per service and region, because it only needs to know where services
// exist; for an entry, the upstreams of the regions that it may send requests to.
func (vs *viewStream) neededUpstreams(a *Agent, list model.Directory) model.Directory {
	_, t, _ := a.log.Current()
	switch vs.process {
	case ProcessDirector:
		return model.OnePerServiceRegion(list)
	case ProcessEntry:
		return model.Reachable(t, a.opt.Self.Region, list)
	}
	return list
}

// sendSnapshot sends a snapshot in parts, without the IDs of applied changes, and
// returns its revision. For an entry the blocks of client addresses are left out as
// well: it does not use them, and they are by far the largest part.
func (vs *viewStream) sendSnapshot(a *Agent, send func(*pb.View) error) (uint64, error) {
	s := a.log.Snapshot()
	s.Changes = nil
	var skip func(string) bool
	if vs.process == ProcessEntry {
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

// countStream adds delta to the number of open streams of a process and announces its
// availability to peers. A new stream ends the process's leaving state.
func (a *Agent) countStream(name string, delta int) {
	a.processesMu.Lock()
	p := a.process(name)
	p.streams += delta
	if delta > 0 {
		p.leaving = false
	}
	a.processesMu.Unlock()
	a.announceProcesses()
}

// process returns the state of the process with the given name, and adds it if it is
// new. The caller holds processesMu.
func (a *Agent) process(name string) *process {
	p := a.processes[name]
	if p == nil {
		p = new(process)
		a.processes[name] = p
	}
	return p
}

// HandleReport applies a report from another process of the instance: whether it is
// leaving, its usage of the caps and the draining upstreams. It returns the own
// revision and the limits of the entry.
func (a *Agent) HandleReport(req *pb.ReportRequest) *pb.ReportReply {
	a.processesMu.Lock()
	p := a.process(req.GetProcess())
	p.leaving = req.GetLeaving()
	a.processesMu.Unlock()
	a.announceProcesses()
	a.draining.apply(time.Now(), req.GetDraining())
	return &pb.ReportReply{Revision: a.log.Revision(), Limits: a.capLimits(req.GetUsage())}
}

// announceProcesses updates the addresses of the own processes in the membership and,
// if they have changed, announces them to peers.
func (a *Agent) announceProcesses() {
	a.processesMu.Lock()
	entry, director := a.announcedAddress(ProcessEntry, a.opt.Self.Entry), a.announcedAddress(ProcessDirector, a.opt.Self.Director)
	before := a.table.Self()
	a.table.UpdateSelf(time.Now(), func(m *membership.Member) { m.Entry, m.Director = entry, director })
	a.processesMu.Unlock()
	if after := a.table.Self(); after.Incarnation != before.Incarnation {
		klog.InfoS("announced process addresses changed", "entry", entry, "director", director)
		go a.announce(context.Background())
	}
}

// announcedAddress returns addr if the process has a stream open and is not leaving,
// and "" otherwise. The caller holds processesMu.
func (a *Agent) announcedAddress(name, addr string) string {
	if p := a.processes[name]; p != nil && p.streams > 0 && !p.leaving {
		return addr
	}
	return ""
}
