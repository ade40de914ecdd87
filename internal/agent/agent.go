// Package agent is the control process of an instance.
//
// An agent follows the configuration log, takes part in membership and fan-out,
// and hands the director and the entry beside it everything they decide by. All
// agents are alike; which of them read the platform follows from the
// membership alone.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/platform"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/share"
)

// Peers calls other agents by their addresses. Implementations are safe for
// concurrent use.
type Peers interface {
	Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error)
	Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error)
	// Snapshot calls each with the parts of a peer's state, in order, or not at
	// all if the state is not newer than above.
	Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error
}

// Options sets up an Agent.
type Options struct {
	// Self is the own member; its Entry and Director are announced only while
	// those processes are connected.
	Self membership.Member
	// Seeds are addresses of agents to start from.
	Seeds []string
	Store platform.Store
	List  platform.Lister
	Peers Peers
	// Rand is the source of all random choices of the agent.
	Rand *rand.Rand
	// Period is the time between probes.
	Period time.Duration
	// Machine tells the machine apart from another that takes itself for the
	// same instance.
	Machine string
	// Boot is the machine's clock since boot.
	Boot func() int64
	// Membership sets the times of the membership.
	Membership membership.Config
}

// DefaultPeriod is the usual time between probes.
const DefaultPeriod = time.Second

// Agent is the control process of an instance. Its methods are safe for
// concurrent use.
type Agent struct {
	opt       Options
	log       *configlog.Log
	committer *configlog.Committer
	table     *membership.Table
	directory *directory
	draining  *draining
	keeper    *share.Allocator
	stats     Stats

	// proberMu guards prober and rnd, which are not safe for concurrent use.
	proberMu sync.Mutex
	prober   *membership.Prober
	rnd      *rand.Rand

	// rumor is set when a record came from an operator, or at a reader from a
	// peer rather than from the store, so that it is passed on to other failure
	// domains too.
	rumor   atomic.Bool
	pulling atomic.Bool
	// serving counts the snapshots being handed to peers.
	serving atomic.Int32
	// origin says where the state came from at the start.
	origin atomic.Value

	// localMu guards processes.
	localMu   sync.Mutex
	processes map[string]*process
}

// Stats counts what an agent did.
type Stats struct {
	Exchanges       atomic.Int64
	ExchangeFailed  atomic.Int64
	Pushes          atomic.Int64
	PushFailed      atomic.Int64
	RecordsApplied  atomic.Int64
	RecordsRefused  atomic.Int64
	StoreFailed     atomic.Int64
	SnapshotsServed atomic.Int64
}

// New returns an Agent that does nothing until Run.
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
	a.keeper = share.NewAllocator(opt.Store, opt.Self.ID+"@"+opt.Machine, opt.Self.Region, opt.Boot, time.Now)
	a.committer = configlog.NewCommitter(opt.Store, a.log, time.Now)
	a.prober = membership.NewProber(a.table, opt.Rand)
	a.origin.Store("nothing yet")
	return a
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	a.start(ctx)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){a.probeLoop, a.pushLoop, a.logLoop, a.listLoop, a.shareLoop} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Commit has a change accepted, refused or left unknown.
func (a *Agent) Commit(ctx context.Context, c configlog.Change) configlog.Result {
	before := a.log.Revision()
	r := a.committer.Commit(ctx, c)
	if r.Outcome == configlog.Accepted && r.Revision > before {
		a.rumor.Store(true)
	}
	return r
}

// Log returns the configuration's state.
func (a *Agent) Log() *configlog.Log { return a.log }

// Table returns the membership.
func (a *Agent) Table() *membership.Table { return a.table }

// Leave tells the peers that the instance stops.
func (a *Agent) Leave(ctx context.Context) {
	a.table.Leave(time.Now())
	a.announce(ctx)
}

// plan returns the own part in the fan-out.
func (a *Agent) plan() fanout.Plan {
	self := a.table.Self()
	return fanout.New(domainName(self), self.ID, liveIDs(a.table.Domain(self.Domain), self))
}

// domainName is unique among all failure domains, also if two regions use one
// name.
func domainName(m membership.Member) string { return m.Region + "/" + m.Domain }

func liveIDs(ms []membership.Member, of membership.Member) []string {
	var ids []string
	for _, m := range ms {
		if m.State == membership.Alive && m.Region == of.Region && m.Agent != "" {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// intN returns a random number below n.
func (a *Agent) intN(n int) int {
	a.proberMu.Lock()
	defer a.proberMu.Unlock()
	return a.rnd.IntN(n)
}

// jitter returns d lengthened by up to half.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d + time.Duration(a.intN(int(d/2)+1))
}

// apply takes in records that came from a peer. It reports false if some are
// missing before them.
func (a *Agent) apply(ms []*pb.Record, from string) bool {
	whole, applied := true, 0
	for _, m := range ms {
		rec, err := configlog.FromProto(m)
		if err != nil {
			a.stats.RecordsRefused.Add(1)
			klog.ErrorS(err, "record refused", "from", from)
			break
		}
		n, err := a.log.Append(rec)
		applied += n
		if err != nil {
			whole = false
			break
		}
	}
	a.stats.RecordsApplied.Add(int64(applied))
	if applied > 0 && a.plan().Reader {
		a.rumor.Store(true)
	}
	return whole
}
