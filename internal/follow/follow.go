// Package follow keeps the director and the entry supplied with the state of
// the agent beside them.
//
// When the agent is away, the process goes on with its last snapshot and says
// so in its dump and metrics.
package follow

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// retryEvery is the pause before an agent that is away is called again.
	retryEvery = 200 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = time.Second
)

// Follower receives an agent's state.
type Follower struct {
	dialer  *rpc.Dialer
	agent   string
	process string
	region  string
	update  func(*model.Snapshot)
	// skip leaves out edits to paths that the process has no use for.
	skip func(path string) bool

	log       *configlog.Log
	parts     *configlog.Assembler
	directory model.Directory
	members   []membership.Member
	draining  []string
	connected atomic.Bool
	updates   atomic.Int64
	lastView  atomic.Int64
}

// Options sets up a Follower.
type Options struct {
	Dialer *rpc.Dialer
	// Agent is the agent's address, Process the name of the own process, Region
	// the own region.
	Agent, Process, Region string
	// Update is called with each new snapshot, one call at a time.
	Update func(*model.Snapshot)
	// Skip is true for paths that the process has no use for; nil skips none.
	Skip func(path string) bool
}

// New returns a Follower.
func New(opt Options) *Follower {
	return &Follower{
		dialer:  opt.Dialer,
		agent:   opt.Agent,
		process: opt.Process,
		region:  opt.Region,
		update:  opt.Update,
		skip:    opt.Skip,
		log:     configlog.NewLog(),
	}
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if f.connected.Swap(false) {
			klog.InfoS("agent lost, going on with the last state", "agent", f.agent, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryEvery):
		}
	}
}

func (f *Follower) follow(ctx context.Context) error {
	conn := f.dialer.Conn(f.agent)
	defer conn.Close()
	stream, err := pb.NewDRPCNodeClient(conn).Follow(ctx, &pb.FollowRequest{Process: f.process})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		v, err := stream.Recv()
		if err != nil {
			return err
		}
		f.connected.Store(true)
		f.take(v)
	}
}

// take applies a view. A revision older than the own never replaces it.
func (f *Follower) take(v *pb.View) {
	if p := v.GetSnapshot(); p != nil {
		f.assemble(p, v.GetFirst())
	}
	if v.GetMore() {
		return
	}
	f.restore()
	records, err := rpc.RecordsFromProto(v.GetRecords())
	if err != nil {
		klog.ErrorS(err, "record refused", "from", f.agent)
	}
	if _, err := f.log.Append(f.needed(records)...); err != nil {
		klog.ErrorS(err, "records do not follow", "from", f.agent)
	}
	if d := v.GetDirectory(); d != nil && d.GetVersion() >= f.directory.Version {
		f.directory = rpc.DirectoryFromProto(d)
	}
	f.members = rpc.MembersFromProto(v.GetMembers())
	f.draining = v.GetDraining()
	f.publish()
}

// needed leaves out the edits that the process has no use for.
func (f *Follower) needed(records []configlog.Record) []configlog.Record {
	if f.skip == nil {
		return records
	}
	for i := range records {
		edits := records[i].Edits
		records[i].Edits = slices.DeleteFunc(edits, func(e tree.Edit) bool { return f.skip(e.Path) })
	}
	return records
}

// assemble takes in a part of a snapshot. A part that does not fit drops the
// whole.
func (f *Follower) assemble(p *pb.SnapshotPart, first bool) {
	if first {
		f.parts = new(configlog.Assembler)
	}
	if f.parts == nil {
		return
	}
	if err := f.parts.Add(p); err != nil {
		klog.ErrorS(err, "snapshot refused", "from", f.agent)
		f.parts = nil
	}
}

func (f *Follower) restore() {
	if f.parts == nil {
		return
	}
	s, err := f.parts.Snapshot()
	f.parts = nil
	if err == nil {
		f.log.Restore(s)
	}
}

func (f *Follower) publish() {
	revision, t, _ := f.log.Current()
	f.update(model.Compile(model.Input{
		Region:    f.region,
		Revision:  revision,
		Tree:      t,
		Directory: f.directory,
		Draining:  f.draining,
		Members:   f.members,
	}))
	f.updates.Add(1)
	f.lastView.Store(time.Now().UnixMilli())
}

// Report tells the agent how the process fares, and returns its answer.
func (f *Follower) Report(ctx context.Context, req *pb.ReportRequest) (*pb.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn := f.dialer.Conn(f.agent)
	defer conn.Close()
	req.Process = f.process
	return pb.NewDRPCNodeClient(conn).Report(ctx, req)
}

// Status is the state of the connection to the agent.
type Status struct {
	Agent     string `json:"agent"`
	Connected bool   `json:"connected"`
	Updates   int64  `json:"updates"`
	// LastUpdate is when the last snapshot came, in Unix milliseconds.
	LastUpdate int64 `json:"last_update_unix_ms"`
}

// Status returns the state of the connection.
func (f *Follower) Status() Status {
	return Status{f.agent, f.connected.Load(), f.updates.Load(), f.lastView.Load()}
}
