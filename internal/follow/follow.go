// Package follow streams the state of the local agent to the director and the entry
// of the same instance.
//
// While the agent is not reachable, the process continues with its last snapshot and
// shows the lost connection in its dump and metrics.
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
	// retryInterval is the pause before a new attempt to connect to the agent.
	retryInterval = 200 * time.Millisecond
	// reportTimeout is the timeout of one report.
	reportTimeout = time.Second
)

// Follower receives the state of the local agent and compiles it into snapshots.
type Follower struct {
	dialer   *rpc.Dialer
	agent    string
	process  string
	region   string
	onUpdate func(*model.Snapshot)
	// skipPath returns true for paths whose edits are left out; nil leaves out none.
	skipPath func(path string) bool

	log        *configlog.Log
	assembler  *configlog.Assembler
	directory  model.Directory
	members    []membership.Member
	draining   []string
	connected  atomic.Bool
	updates    atomic.Int64
	lastUpdate atomic.Int64
}

// Options configures a Follower.
type Options struct {
	// Dialer opens connections to the agent.
	Dialer *rpc.Dialer
	// Agent is the agent's address, Process the name of the own process, and Region
	// the own region.
	Agent, Process, Region string
	// OnUpdate is called with each new snapshot, one call at a time.
	OnUpdate func(*model.Snapshot)
	// SkipPath returns true for configuration paths that the process does not use;
	// nil skips none.
	SkipPath func(path string) bool
}

// New returns a Follower with the given options. It is inactive until Run is called.
func New(opt Options) *Follower {
	return &Follower{
		dialer:   opt.Dialer,
		agent:    opt.Agent,
		process:  opt.Process,
		region:   opt.Region,
		onUpdate: opt.OnUpdate,
		skipPath: opt.SkipPath,
		log:      configlog.NewLog(),
	}
}

// Run receives the agent's state until ctx ends, and reconnects when the stream
// breaks.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if f.connected.Swap(false) {
			klog.InfoS("lost connection to agent, continuing with the last state", "agent", f.agent, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// follow opens one stream and applies its views until the stream breaks.
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
		f.applyView(v)
	}
}

// applyView applies a view and publishes the result once the view is complete. An
// older revision or directory version never replaces a newer one.
func (f *Follower) applyView(v *pb.View) {
	if p := v.GetSnapshot(); p != nil {
		f.addSnapshotPart(p, v.GetFirst())
	}
	if v.GetMore() {
		return
	}
	f.restoreSnapshot()
	records, err := rpc.RecordsFromProto(v.GetRecords())
	if err != nil {
		klog.ErrorS(err, "rejected invalid record from agent", "from", f.agent)
	}
	if _, err := f.log.Append(f.dropSkipped(records)...); err != nil {
		klog.ErrorS(err, "rejected records that do not continue the log", "from", f.agent)
	}
	if d := v.GetDirectory(); d != nil && d.GetVersion() >= f.directory.Version {
		f.directory = rpc.DirectoryFromProto(d)
	}
	f.members = rpc.MembersFromProto(v.GetMembers())
	f.draining = v.GetDraining()
	f.publish()
}

// dropSkipped removes the edits to paths that the process does not use. It modifies
// records in place and returns it.
func (f *Follower) dropSkipped(records []configlog.Record) []configlog.Record {
	if f.skipPath == nil {
		return records
	}
	for i := range records {
		edits := records[i].Edits
		records[i].Edits = slices.DeleteFunc(edits, func(e tree.Edit) bool { return f.skipPath(e.Path) })
	}
	return records
}

// addSnapshotPart adds a part of a snapshot. If the part does not match the previous
// ones, the whole snapshot is dropped.
func (f *Follower) addSnapshotPart(p *pb.SnapshotPart, first bool) {
	if first {
		f.assembler = new(configlog.Assembler)
	}
	if f.assembler == nil {
		return
	}
	if err := f.assembler.Add(p); err != nil {
		klog.ErrorS(err, "rejected snapshot from agent", "from", f.agent)
		f.assembler = nil
	}
}

// restoreSnapshot replaces the log with the received snapshot, if there is one and it
// is complete.
func (f *Follower) restoreSnapshot() {
	if f.assembler == nil {
		return
	}
	s, err := f.assembler.Snapshot()
	f.assembler = nil
	if err == nil {
		f.log.Restore(s)
	}
}

// publish compiles the current state into a snapshot and passes it to onUpdate.
func (f *Follower) publish() {
	revision, t, _ := f.log.Current()
	f.onUpdate(model.Compile(model.Input{
		Region:    f.region,
		Revision:  revision,
		Tree:      t,
		Directory: f.directory,
		Draining:  f.draining,
		Members:   f.members,
	}))
	f.updates.Add(1)
	f.lastUpdate.Store(time.Now().UnixMilli())
}

// Report sends the state of the process to the agent, with reportTimeout, and returns
// the agent's reply. It sets req.Process.
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
	// Agent is the agent's address.
	Agent string `json:"agent"`
	// Connected is true while the agent sends its state.
	Connected bool `json:"connected"`
	// Updates is the number of snapshots published since the start.
	Updates int64 `json:"updates"`
	// LastUpdate is the time of the last published snapshot in Unix milliseconds; 0
	// if there was none.
	LastUpdate int64 `json:"last_update_unix_ms"`
}

// Status returns the state of the connection.
func (f *Follower) Status() Status {
	return Status{f.agent, f.connected.Load(), f.updates.Load(), f.lastUpdate.Load()}
}
