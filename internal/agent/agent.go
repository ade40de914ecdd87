// Package agent implements the control process of an instance.
//
// An agent replicates the configuration log and the list of upstreams, takes part
// in membership and fan-out, and streams this state to the director and the entry
// of its instance. All agents run the same code; the membership alone determines
// which of them read from the platform.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/share"
)

// PeerClient calls other agents by their addresses. Implementations are safe for
// concurrent use.
type PeerClient interface {
	// Exchange sends the own state to a peer as a probe, and returns the state that
	// the own instance lacks.
	Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error)
	// Push sends new records and upstreams to a peer.
	Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error)
	// Snapshot calls each with the parts of a peer's snapshot, in order, or not at
	// all if the snapshot's revision is not higher than above.
	Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error
}

// Options configures an Agent.
type Options struct {
	// Self is the own member. Its Entry and Director are announced to peers only
	// while those processes are connected.
	Self membership.Member
	// Seeds are the addresses of agents to contact at the start.
	Seeds []string
	// Store is the platform's key-value store, which holds the configuration log.
	Store coordination.Store
	// List returns the platform's list of instances.
	List coordination.InstanceLister
	// Peers calls other agents.
	Peers PeerClient
	// Rand is the source of all random choices of the agent.
	Rand *rand.Rand
	// ProbePeriod is the time between two rounds of probes.
	ProbePeriod time.Duration
	// BootID identifies the current boot of the machine. It distinguishes two
	// machines that run under the same instance ID.
	BootID string
	// BootClock returns the time since the machine's boot, in nanoseconds.
	BootClock func() int64
	// Membership configures the membership table.
	Membership membership.Config
}

// DefaultProbePeriod is the usual value of Options.ProbePeriod.
const DefaultProbePeriod = time.Second

// Agent is the control process of an instance. Its methods are safe for
// concurrent use.
type Agent struct {
	opt       Options
	log       *configlog.Log
	committer *configlog.Committer
	table     *membership.Table
	directory *directory
	draining  *draining
	allocator *share.Allocator
	stats     Stats

	// proberMu protects prober and rnd, which are not safe for concurrent use.
	proberMu sync.Mutex
	prober   *membership.Prober
	rnd      *rand.Rand

	// pushToReaders is set when new records must also be pushed to the members from
	// readerTargets: a change was committed at this agent, or this agent is a reader
	// that received records from a peer instead of the store.
	pushToReaders atomic.Bool
	// pulling is true while a pull runs.
	pulling atomic.Bool
	// activeSnapshots is the number of snapshots that are being sent to peers.
	activeSnapshots atomic.Int32
	// origin describes where the state was loaded from at the start.
	origin atomic.Value

	// processesMu protects processes.
	processesMu sync.Mutex
	processes   map[string]*process
}

// Stats holds an agent's counters since its start.
type Stats struct {
	// Exchanges and ExchangeFailed count the calls of PeerClient.Exchange, except
	// indirect probes and joins, and those of them that failed.
	Exchanges      atomic.Int64
	ExchangeFailed atomic.Int64
	// Pushes and PushFailed count the calls of PeerClient.Push and those of them
	// that failed.
	Pushes     atomic.Int64
	PushFailed atomic.Int64
	// RecordsApplied and RecordsRefused count the records from peers that were
	// applied, and those that were invalid.
	RecordsApplied atomic.Int64
	RecordsRefused atomic.Int64
	// StoreFailed counts failed reads of the platform and failed rounds of dividing
	// the caps.
	StoreFailed atomic.Int64
	// SnapshotsServed counts the snapshots sent to peers.
	SnapshotsServed atomic.Int64
}

// New returns an Agent with the given options. It is inactive until Run is called.
// If the incarnation in Options.Self is 0, the current time in Unix milliseconds is
// used.
func New(opt Options) *Agent {
	if opt.Self.Incarnation == 0 {
		opt.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	opt.Self.State = membership.Alive
	announced := opt.Self
	announced.Entry, announced.Director = "", ""
	a := &Agent{
		opt:       opt,
		log:       configlog.NewLog(),
		table:     membership.NewTable(announced, opt.Membership),
		directory: newDirectory(),
		draining:  newDraining(),
		rnd:       opt.Rand,
		processes: make(map[string]*process),
	}
	a.allocator = share.NewAllocator(opt.Store, opt.Self.ID+"@"+opt.BootID, opt.Self.Region, opt.BootClock, time.Now)
	a.committer = configlog.NewCommitter(opt.Store, a.log, time.Now)
	a.prober = membership.NewProber(a.table, opt.Rand)
	a.origin.Store("nothing yet")
	return a
}

// Run loads the initial state and runs the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.start(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){a.probeLoop, a.pushLoop, a.logLoop, a.listLoop, a.shareLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Commit submits a change to the configuration log and returns whether it was
// accepted or refused, or that the outcome is unknown.
func (a *Agent) Commit(ctx context.Context, c configlog.Change) configlog.Result {
	before := a.log.Revision()
	r := a.committer.Commit(ctx, c)
	if r.Outcome == configlog.Accepted && r.Revision > before {
		a.pushToReaders.Store(true)
	}
	return r
}

// Log returns the agent's replica of the configuration log.
func (a *Agent) Log() *configlog.Log { return a.log }

// Table returns the membership table.
func (a *Agent) Table() *membership.Table { return a.table }

// Leave marks the own instance as leaving and announces this to peers. It returns
// when the announcement is done.
func (a *Agent) Leave(ctx context.Context) {
	a.table.Leave(time.Now())
	a.announce(ctx)
}

// plan returns the own role in the fan-out of the own failure domain. Members of
// other regions whose failure domain has the same name are left out.
func (a *Agent) plan() fanout.Plan {
	self := a.table.Self()
	return fanout.New(domainKey(self), self.ID, aliveIDs(a.table.DomainMembers(self.Domain), self))
}

// domainKey returns a name for the member's failure domain that is unique even if
// two regions use the same domain name.
func domainKey(m membership.Member) string { return m.Region + "/" + m.Domain }

// aliveIDs returns the IDs of the members in state Alive that are in the same region
// as self and have an agent address.
func aliveIDs(ms []membership.Member, self membership.Member) []string {
	var ids []string
	for _, m := range ms {
		if m.State == membership.Alive && m.Region == self.Region && m.Agent != "" {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// intN returns a random number in [0, n).
func (a *Agent) intN(n int) int {
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	return a.rnd.IntN(n)
}

// jitter returns a random duration between d and 1.5 d.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d + time.Duration(a.intN(int(d/2)+1))
}

// applyRecords appends records from a peer to the log. It returns false if records
// before them are missing.
func (a *Agent) applyRecords(ms []*pb.Record, from string) bool {
	complete, applied := true, 0
	for _, m := range ms {
		rec, err := configlog.FromProto(m)
		if err != nil {
			a.stats.RecordsRefused.Add(1)
			klog.ErrorS(err, "rejected invalid record from peer", "from", from)
			break
		}
		n, err := a.log.Append(rec)
		applied += n
		if err != nil {
			complete = false
			break
		}
	}
	a.stats.RecordsApplied.Add(int64(applied))
	if applied > 0 && a.plan().Reader {
		a.pushToReaders.Store(true)
	}
	return complete
}
