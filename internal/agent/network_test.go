package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// deadRetention is the retention time of dead members in tests.
	deadRetention = time.Minute
	// linkDelay is the duration of a call between agents.
	linkDelay = time.Millisecond
	// stablePeriod is how long a test waits to detect an unwanted change of state.
	stablePeriod = time.Minute
)

// network connects agents in memory and can simulate partitions between them.
type network struct {
	mu     sync.Mutex
	agents map[string]*Agent
	cut    func(from, to string) bool // true for messages that are lost
	store  *standin.Store
	list   *standin.InstanceList
	ctx    context.Context
}

// simulate runs a test with a network in virtual time and stops all agents
// afterwards.
func simulate(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		n := &network{agents: make(map[string]*Agent), store: standin.NewStore(), list: standin.NewInstanceList(nil), ctx: ctx}
		test(t, n)
		n.setCut(nil)
		n.store.SetFault(nil)
		stop()
		// Calls that are still in progress end with their timeouts.
		time.Sleep(time.Minute)
	})
}

// setCut sets the function that returns true for messages that are lost; nil means
// that none are.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

var errNoPeer = errors.New("no agent is running at the address")

// call returns the agent at the address to after linkDelay. If the message is lost, it
// waits for the end of ctx and returns its error.
func (n *network) call(ctx context.Context, from, to string) (*Agent, error) {
	n.mu.Lock()
	a, lost := n.agents[to], n.cut != nil && n.cut(from, to)
	n.mu.Unlock()
	if a == nil {
		return nil, errNoPeer
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(linkDelay)
	return a, ctx.Err()
}

// peerClient is the PeerClient of one agent in a network.
type peerClient struct {
	net  *network
	self string
}

func (c peerClient) Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	a, err := c.net.call(ctx, c.self, addr)
	if err != nil {
		return nil, err
	}
	return a.HandleExchange(ctx, req), nil
}

func (c peerClient) Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error) {
	a, err := c.net.call(ctx, c.self, addr)
	if err != nil {
		return nil, err
	}
	return a.HandlePush(ctx, req), nil
}

func (c peerClient) Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error {
	a, err := c.net.call(ctx, c.self, addr)
	if err != nil {
		return err
	}
	return a.HandleSnapshot(&pb.SnapshotRequest{Above: above}, each)
}

// node is a running agent of a test.
type node struct {
	*Agent
	stop context.CancelFunc
}

// run starts an agent whose seeds are the first agents of the regions m0 and m1.
func (n *network) run(t *testing.T, id, region, domain string, incarnation uint64) *node {
	t.Helper()
	a := New(Options{
		Self:        membership.Member{ID: id, Incarnation: incarnation, Region: region, Domain: domain, Agent: id, Entry: "entry-" + id},
		Seeds:       []string{"m0-a-0", "m1-a-0"},
		Store:       agentStore{n.store, n, id},
		List:        n.list,
		Peers:       peerClient{n, id},
		Rand:        rand.New(rand.NewPCG(uint64(len(id)), hash(id))),
		ProbePeriod: DefaultProbePeriod,
		BootClock:   func() int64 { return time.Now().UnixNano() },
		Membership:  membership.Config{SuspicionTimeout: 4 * time.Second, DeadRetention: deadRetention, RetransmitLimit: 8},
	})
	n.mu.Lock()
	n.agents[id] = a
	n.mu.Unlock()
	ctx, stop := context.WithCancel(n.ctx)
	go a.Run(ctx)
	return &node{a, stop}
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// kill stops an agent without a leave message.
func (n *network) kill(x *node) {
	x.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.agents, x.opt.Self.ID)
}

// storeAddr is the address that network.cut receives for the store.
const storeAddr = "store"

// agentStore is the store as seen by one agent, subject to the network's cut.
type agentStore struct {
	*standin.Store
	net  *network
	self string
}

// lost reports whether the agent is cut off from the store.
func (s agentStore) lost() bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	return s.net.cut != nil && s.net.cut(s.self, storeAddr)
}

func (s agentStore) Get(ctx context.Context, key string) (coordination.Entry, error) {
	if s.lost() {
		return coordination.Entry{}, standin.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s agentStore) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (coordination.Entry, error) {
	if s.lost() {
		return coordination.Entry{}, standin.ErrUnavailable
	}
	return s.Store.Watch(ctx, key, version, wait)
}

// startGrid starts per agents in each of domains failure domains in each of regions
// regions, and waits until every agent has all as live members.
func startGrid(t *testing.T, n *network, regions, domains, per int) []*node {
	t.Helper()
	var nodes []*node
	for r := range regions {
		for d := range domains {
			for i := range per {
				region := fmt.Sprint("m", r)
				domain := fmt.Sprintf("%s-%c", region, 'a'+d)
				nodes = append(nodes, n.run(t, fmt.Sprintf("%s-%d", domain, i), region, domain, 1))
			}
		}
	}
	waitUntil(t, "full membership at all agents", time.Minute, func() bool {
		for _, x := range nodes {
			if liveCount(x) != len(nodes) {
				return false
			}
		}
		return true
	})
	return nodes
}

// liveCount returns the number of live members in x's table, including x.
func liveCount(x *node) int {
	all, _ := x.table.All()
	count := 0
	for _, m := range all {
		if m.Live() {
			count++
		}
	}
	return count
}

// waitUntil waits until ok returns true and returns the virtual time that this took.
// It fails the test after limit.
func waitUntil(t *testing.T, what string, limit time.Duration, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("%s: condition not met within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// change returns a change that sets the deadline of a service to value.
func change(id, value string) configlog.Change {
	return configlog.Change{ID: id, Author: "op", Edits: []tree.Edit{{Path: "/services/stock", Key: tree.KeyDeadline, Value: value}}}
}

// commit commits c at x, fails the test if it is not accepted, and returns its
// revision.
func commit(t *testing.T, x *node, c configlog.Change) uint64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := x.Commit(ctx, c)
	if r.Outcome != configlog.Accepted {
		t.Fatalf("commit = %+v", r)
	}
	return r.Revision
}

// allAt returns a condition that is true once all nodes have reached revision.
func allAt(nodes []*node, revision uint64) func() bool {
	return func() bool {
		for _, x := range nodes {
			if x.log.Revision() < revision {
				return false
			}
		}
		return true
	}
}
