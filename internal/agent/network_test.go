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
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/platform"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// keepDead is how long the dead are remembered in tests.
	keepDead = time.Minute
	// linkDelay is how long a call between agents takes.
	linkDelay = time.Millisecond
	// quiet is how long a state is watched that should not change.
	quiet = time.Minute
)

// network joins agents in memory; it can cut pairs of them apart.
type network struct {
	mu     sync.Mutex
	agents map[string]*Agent
	cut    func(from, to string) bool
	store  *standin.Store
	list   *standin.List
	ctx    context.Context
}

// simulate runs a test with a network in virtual time, and ends every agent
// afterwards.
func simulate(t *testing.T, test func(t *testing.T, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		n := &network{agents: make(map[string]*Agent), store: standin.NewStore(), list: standin.NewList(nil), ctx: ctx}
		test(t, n)
		n.setCut(nil)
		n.store.SetFault(nil)
		stop()
		// Calls that were under way run into their timeouts.
		time.Sleep(time.Minute)
	})
}

// setCut installs which messages are lost; nil means none.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

var errNoPeer = errors.New("no such peer")

// reach returns the agent at an address, or waits out the call if it is cut off.
func (n *network) reach(ctx context.Context, from, to string) (*Agent, error) {
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

// link is the side of one agent.
type link struct {
	net  *network
	self string
}

func (l link) Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	a, err := l.net.reach(ctx, l.self, addr)
	if err != nil {
		return nil, err
	}
	return a.HandleExchange(ctx, req), nil
}

func (l link) Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error) {
	a, err := l.net.reach(ctx, l.self, addr)
	if err != nil {
		return nil, err
	}
	return a.HandlePush(ctx, req), nil
}

func (l link) Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error {
	a, err := l.net.reach(ctx, l.self, addr)
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

// run starts an agent that knows the network's first agent.
func (n *network) run(t *testing.T, id, region, domain string, incarnation uint64) *node {
	t.Helper()
	a := New(Options{
		Self:        membership.Member{ID: id, Incarnation: incarnation, Region: region, Domain: domain, Agent: id, Entry: "entry-" + id},
		Seeds:       []string{"m0-a-0", "m1-a-0"},
		Store:       storeOf{n.store, n, id},
		List:        n.list,
		Peers:       link{n, id},
		Rand:        rand.New(rand.NewPCG(uint64(len(id)), hash(id))),
		ProbePeriod: DefaultProbePeriod,
		BootClock:   func() int64 { return time.Now().UnixNano() },
		Membership:  membership.Config{SuspicionTimeout: 4 * time.Second, DeadRetention: keepDead, RetransmitLimit: 8},
	})
	n.mu.Lock()
	n.agents[id] = a
	n.mu.Unlock()
	ctx, stop := context.WithCancel(n.ctx)
	go a.Run(ctx)
	return &node{a, stop}
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// kill ends an agent without a farewell.
func (n *network) kill(x *node) {
	x.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.agents, x.opt.Self.ID)
}

// storeAddr is the address of the store in cuts.
const storeAddr = "store"

// storeOf is the store as one agent reaches it.
type storeOf struct {
	*standin.Store
	net  *network
	self string
}

func (s storeOf) lost() bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	return s.net.cut != nil && s.net.cut(s.self, storeAddr)
}

func (s storeOf) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.lost() {
		return platform.Entry{}, standin.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s storeOf) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (platform.Entry, error) {
	if s.lost() {
		return platform.Entry{}, standin.ErrUnavailable
	}
	return s.Store.Watch(ctx, key, version, wait)
}

// grid starts regions x domains x per agents and waits until all know all.
func grid(t *testing.T, n *network, regions, domains, per int) []*node {
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
	waitUntil(t, "all know all", time.Minute, func() bool {
		for _, x := range nodes {
			if live(x) != len(nodes) {
				return false
			}
		}
		return true
	})
	return nodes
}

func live(x *node) int {
	all, _ := x.table.All()
	count := 0
	for _, m := range all {
		if m.Live() {
			count++
		}
	}
	return count
}

// waitUntil waits in virtual time and returns how long it took.
func waitUntil(t *testing.T, what string, limit time.Duration, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func change(id, value string) configlog.Change {
	return configlog.Change{ID: id, Author: "op", Edits: []tree.Edit{{Path: "/services/stock", Key: tree.KeyDeadline, Value: value}}}
}

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
