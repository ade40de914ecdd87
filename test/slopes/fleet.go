package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/agent"
	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// member is one agent of the measured cluster with its traffic counters.
type member struct {
	*agent.Agent
	traffic *rpc.ByteCounts
	dialer  *rpc.Dialer
}

// cluster is a number of agents in this process that share a store.
type cluster struct {
	members []*member
	store   *standin.Store
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// measureFleets measures a cluster of each size of the flag agents.
func measureFleets(ctx context.Context, c *cli.Command) error {
	klog.SetOutput(nil)
	klog.LogToStderr(false)
	fmt.Println("machine:", machine())
	fmt.Println("agents domains | idle: B/s/agent cpu%/agent store/s | role B/s idle | role B per change with what is idle meanwhile | per change: B/agent cpu_us/agent store calls | in force p50 p99 max")
	for _, n := range c.IntSlice("agents") {
		if err := measureFleet(ctx, c, n); err != nil {
			return err
		}
	}
	return nil
}

// usage is what a cluster has used up to the time at: processor time, bytes sent and received
// by kind ("all") and member, and calls of the store.
type usage struct {
	at    time.Time
	cpu   time.Duration
	bytes map[string][]int64
	calls int64
}

// usage returns what the cluster has used up to now.
func (c *cluster) usage() usage {
	u := usage{at: time.Now(), cpu: cpuTime(), bytes: make(map[string][]int64)}
	for _, m := range c.members {
		u.bytes["all"] = append(u.bytes["all"], m.traffic.Sent.Load()+m.traffic.Received.Load())
	}
	for _, op := range []standin.Op{standin.OpGet, standin.OpCompareAndSwap, standin.OpWatch} {
		u.calls += c.store.CallCount(op)
	}
	return u
}

// cpuTime returns the processor time (user and system) of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// measureFleet starts a cluster of n agents, measures it when idle and under changes, and
// prints a row.
func measureFleet(ctx context.Context, c *cli.Command, n int) error {
	f, err := startCluster(ctx, n, c.Int("per-domain"))
	if err != nil {
		return err
	}
	defer f.shutDown()
	if err := f.settle(n); err != nil {
		return err
	}
	f.addSyntheticMembers(c.Int("ghosts"), c.Int("per-domain"))
	before := f.usage()
	time.Sleep(c.Duration("idle"))
	idle := f.usage()
	times, err := f.commitChanges(c.Int("changes"), c.Duration("gap"))
	if err != nil {
		return err
	}
	after := f.usage()
	f.print(n, c.Int("changes"), before, idle, after, times)
	return nil
}

// print prints the row of a cluster. The cost of changes is the usage above the idle rate
// during them.
func (c *cluster) print(n, changes int, before, idle, after usage, times []time.Duration) {
	idleFor, busyFor := idle.at.Sub(before.at).Seconds(), after.at.Sub(idle.at).Seconds()
	idleBytes := float64(sum(idle.bytes["all"])-sum(before.bytes["all"])) / idleFor
	busyBytes := float64(sum(after.bytes["all"]) - sum(idle.bytes["all"]))
	idleCPU := (idle.cpu - before.cpu).Seconds() / idleFor
	busyCPU := (after.cpu - idle.cpu).Seconds()
	idleCalls := float64(idle.calls-before.calls) / idleFor
	busyCalls := float64(after.calls - idle.calls)
	domains := make(map[string]bool)
	for _, m := range c.members {
		domains[m.Table().Self().Domain] = true
	}
	fmt.Printf("%6d %7d | %8.0f %8.3f %8.1f | %s | %s | %8.0f %8.1f %6.1f | %v %v %v\n",
		n, len(domains), idleBytes/float64(n), 100*idleCPU/float64(n), idleCalls,
		c.bytesByRole(before, idle, idleFor), c.bytesByRole(idle, after, float64(changes)),
		(busyBytes-idleBytes*busyFor)/float64(n*changes),
		1e6*(busyCPU-idleCPU*busyFor)/float64(n*changes),
		(busyCalls-idleCalls*busyFor)/float64(changes),
		quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1))
}

// bytesByRole returns the mean bytes of an agent by role between two times, divided by per.
func (c *cluster) bytesByRole(from, to usage, per float64) string {
	total, count := make(map[string]int64), make(map[string]int64)
	for i, m := range c.members {
		role := roleOf(m)
		total[role] += to.bytes["all"][i] - from.bytes["all"][i]
		count[role]++
	}
	s := ""
	for _, role := range []string{"reader", "inner", "leaf"} {
		if count[role] > 0 {
			s += fmt.Sprintf("%s %.0f ", role, float64(total[role])/float64(count[role])/per)
		}
	}
	return s
}

// roleOf returns an agent's role in the propagation of changes: reader of the store, inner
// node of the tree or leaf.
func roleOf(m *member) string {
	p := m.Dump().Plan
	switch {
	case p.Reader:
		return "reader"
	case len(p.Children) > 0:
		return "inner"
	}
	return "leaf"
}

func sum(xs []int64) int64 {
	var s int64
	for _, x := range xs {
		s += x
	}
	return s
}

// quantile returns a quantile of durations, with q from 0 to 1, rounded to milliseconds.
func quantile(ds []time.Duration, q float64) time.Duration {
	slices.Sort(ds)
	return ds[int(q*float64(len(ds)-1))].Round(time.Millisecond)
}

// startCluster starts n agents. Their only seed is the first agent.
func startCluster(ctx context.Context, n, perDomain int) (*cluster, error) {
	ctx, stop := context.WithCancel(ctx)
	c := &cluster{store: standin.NewStore(), stop: stop}
	list := standin.NewInstanceList(nil)
	var seed string
	for i := range n {
		m, err := c.startAgent(ctx, i, perDomain, seed, list)
		if err != nil {
			stop()
			return nil, err
		}
		if i == 0 {
			seed = m.Table().Self().Agent
		}
		c.members = append(c.members, m)
	}
	return c, nil
}

// startAgent starts the agent with index i.
func (c *cluster) startAgent(ctx context.Context, i, perDomain int, seed string, list coordination.InstanceLister) (*member, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	traffic := new(rpc.ByteCounts)
	dialer := rpc.NewDialer(nil, traffic)
	domain := fmt.Sprintf("domain-%d", i/perDomain)
	a := agent.New(agent.Options{
		Self: membership.Member{
			ID: fmt.Sprintf("instance-%d", i), Region: fmt.Sprintf("region-%d", i/perDomain/2), Domain: domain,
			Agent: lis.Addr().String(), Entry: "127.0.0.1:8000", Director: "127.0.0.1:8001",
		},
		Seeds:       []string{seed},
		Store:       c.store,
		List:        list,
		Peers:       rpc.NewPeerClient(dialer),
		Rand:        rand.New(rand.NewPCG(uint64(i), 7)),
		ProbePeriod: agent.DefaultProbePeriod,
		BootClock:   func() int64 { return time.Now().UnixNano() },
		Membership:  membership.DefaultConfig(),
	})
	mux, err := rpc.NewMux(a)
	if err != nil {
		return nil, err
	}
	c.done.Go(func() { _ = rpc.Serve(ctx, lis, mux, traffic) })
	c.done.Go(func() { a.Run(ctx) })
	return &member{a, traffic, dialer}, nil
}

// shutDown stops all agents and waits until they have ended.
func (c *cluster) shutDown() {
	c.stop()
	for _, m := range c.members {
		_ = m.dialer.Close()
	}
	c.done.Wait()
}

// settleTimeout limits the wait for complete member lists.
const settleTimeout = 2 * time.Minute

// settle waits until every agent has all n members in its list and no pending membership
// updates, so that these do not count as idle traffic.
func (c *cluster) settle(n int) error {
	deadline := time.Now().Add(settleTimeout)
	for {
		all := true
		for _, m := range c.members {
			members, _ := m.Table().All()
			all = all && len(members) == n
		}
		if all {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("member lists of agents are incomplete after %v", settleTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range c.members {
		for m.Table().PendingUpdates() > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// addSyntheticMembers adds n members to the membership table of every agent. They are in
// failure domains of their own and have the addresses of real agents, so that probes of
// them are answered. The tables and what is computed from them then have the size of a
// large cluster.
func (c *cluster) addSyntheticMembers(n, perDomain int) {
	var synthetic []membership.Member
	for i := range n {
		addr := c.members[i%len(c.members)].Table().Self().Agent
		synthetic = append(synthetic, membership.Member{
			ID: fmt.Sprintf("ghost-%d", i), Incarnation: 1, State: membership.Alive,
			Region: fmt.Sprintf("ghost-region-%d", i/perDomain/2), Domain: fmt.Sprintf("ghost-domain-%d", i/perDomain),
			Agent: addr, Entry: "127.0.0.1:8000", Director: "127.0.0.1:8001",
		})
	}
	for _, m := range c.members {
		m.Table().AddMembers(time.Now(), synthetic)
	}
}

// commitChanges commits n changes one after the other at random agents, with a pause of gap
// after each. It returns the time of each from its acceptance until it is in force at all
// agents.
func (c *cluster) commitChanges(n int, gap time.Duration) ([]time.Duration, error) {
	rnd := rand.New(rand.NewPCG(1, 2))
	var times []time.Duration
	for i := range n {
		at := c.members[rnd.IntN(len(c.members))]
		r := at.Commit(context.Background(), configlog.Change{
			ID: fmt.Sprintf("change-%d-%d", len(c.members), i), Author: "operator@example.org", Note: "maintenance window",
			Edits: []tree.Edit{
				{Path: fmt.Sprintf("/services/s%d/regions/muscat", i%40), Key: tree.KeyDeadline, Value: "2s"},
				{Path: fmt.Sprintf("/services/s%d/regions/muscat", i%40), Key: tree.KeyPriority, Value: "4"},
			},
		})
		if r.Outcome != configlog.Accepted {
			return nil, fmt.Errorf("change %d was not accepted: %+v", i, r)
		}
		accepted := time.Now()
		for _, m := range c.members {
			for m.Log().Revision() < r.Revision {
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(accepted))
		time.Sleep(gap)
	}
	return times, nil
}
