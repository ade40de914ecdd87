// Package fleet runs a small deployment of loomkeel as separate processes on
// loopback, with stand-ins for the platform and the upstreams, for the quick
// start and for the proofs under failure.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/platform"
)

// Spec says what to run.
type Spec struct {
	// Nodes are loomkeel's instances.
	Nodes []Node
	// UpstreamGroups are the upstreams.
	UpstreamGroups []UpstreamGroup
	// PlaceholderUpstreams are further upstreams that only the platform's list names.
	PlaceholderUpstreams []platform.Instance
	// ServiceTime is how long a request takes at an upstream.
	ServiceTime time.Duration
	// UseProxies puts a relay between each node and the platform, and between the
	// entries and each upstream.
	UseProxies bool
	// Linger is how long a stopping entry still takes requests.
	Linger time.Duration
}

// Node is one instance of loomkeel.
type Node struct{ ID, Region, Domain string }

// UpstreamGroup is a number of upstreams of one service in one failure domain.
type UpstreamGroup struct {
	Service, Region, Domain string
	Count, Slots            int
}

// Addresses are those of one instance's processes.
type Addresses struct {
	Peer, Operator, Director, DirectorDebug, Entry, EntryDebug string
}

// Fleet is a running deployment.
type Fleet struct {
	Spec      Spec
	Platform  string
	Nodes     map[string]Addresses
	Upstreams []platform.Instance
	// PlatformProxies are those of the nodes, UpstreamProxies those of the
	// upstreams, by id; empty without Spec.Relays.
	PlatformProxies, UpstreamProxies map[string]*TCPProxy

	bin, dir string
	procs    map[string]*Proc
}

// New lays out a deployment: it takes addresses and writes the files. Bin is
// the directory of the binaries, dir one for settings and logs.
func New(bin, dir string, spec Spec) (*Fleet, error) {
	f := &Fleet{Spec: spec, bin: bin, dir: dir, Nodes: make(map[string]Addresses), procs: make(map[string]*Proc)}
	f.PlatformProxies, f.UpstreamProxies = make(map[string]*TCPProxy), make(map[string]*TCPProxy)
	ports, err := freePorts(1 + 6*len(spec.Nodes) + countUpstreams(spec))
	if err != nil {
		return nil, err
	}
	next := func() string {
		addr := fmt.Sprintf("127.0.0.1:%d", ports[0])
		ports = ports[1:]
		return addr
	}
	f.Platform = next()
	instances := f.layOut(next)
	if err := f.writeList("upstreams.json", instances); err != nil {
		return nil, err
	}
	if err := f.addProxies(instances); err != nil {
		return nil, err
	}
	if err := f.writeList("instances.json", append(instances, spec.PlaceholderUpstreams...)); err != nil {
		return nil, err
	}
	for _, n := range spec.Nodes {
		if err := os.WriteFile(f.path(n.ID+".ini"), []byte(f.settings(n)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) writeList(name string, instances []platform.Instance) error {
	body, err := json.MarshalIndent(instances, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(name), body, 0o600)
}

// addProxies puts the relays' addresses into the instance list.
func (f *Fleet) addProxies(instances []platform.Instance) error {
	if !f.Spec.UseProxies {
		return nil
	}
	for _, n := range f.Spec.Nodes {
		r, err := NewTCPProxy(f.Platform)
		if err != nil {
			return err
		}
		f.PlatformProxies[n.ID] = r
	}
	for i := range instances {
		if instances[i].Kind != platform.KindUpstream {
			continue
		}
		r, err := NewTCPProxy(instances[i].Address)
		if err != nil {
			return err
		}
		f.UpstreamProxies[instances[i].ID] = r
		instances[i].Address = r.Addr()
	}
	return nil
}

// platformFor returns the platform's address as a node reaches it.
func (f *Fleet) platformFor(node string) string {
	if r := f.PlatformProxies[node]; r != nil {
		return r.Addr()
	}
	return f.Platform
}

func countUpstreams(s Spec) int {
	n := 0
	for _, g := range s.UpstreamGroups {
		n += g.Count
	}
	return n
}

func (f *Fleet) layOut(next func() string) []platform.Instance {
	var list []platform.Instance
	for _, n := range f.Spec.Nodes {
		a := Addresses{next(), next(), next(), next(), next(), next()}
		f.Nodes[n.ID] = a
		list = append(list, platform.Instance{ID: n.ID, Kind: platform.KindNode, Region: n.Region, Domain: n.Domain, Address: a.Peer})
	}
	for _, g := range f.Spec.UpstreamGroups {
		for i := range g.Count {
			u := platform.Instance{
				ID:      fmt.Sprintf("%s-%s-%d", g.Service, g.Domain, i+1),
				Kind:    platform.KindUpstream,
				Service: g.Service, Region: g.Region, Domain: g.Domain,
				Address: next(), Slots: g.Slots, Connections: 400,
			}
			f.Upstreams = append(f.Upstreams, u)
			list = append(list, u)
		}
	}
	return list
}

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *Fleet) settings(n Node) string {
	a := f.Nodes[n.ID]
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\nregion = %s\ndomain = %s\n\n", n.ID, n.Region, n.Domain)
	fmt.Fprintf(&b, "[platform]\naddress = http://%s\ntimeout = 1s\n\n", f.platformFor(n.ID))
	fmt.Fprintf(&b, "[agent]\npeer = %s\noperator = %s\nseeds = %s\n\n", a.Peer, a.Operator, f.seeds())
	fmt.Fprintf(&b, "[director]\nlisten = %s\ndebug = %s\n\n", a.Director, a.DirectorDebug)
	fmt.Fprintf(&b, "[entry]\nlisten = %s\ndebug = %s\nlinger = %s\n\n[log]\nverbosity = 1\n", a.Entry, a.EntryDebug, f.Spec.Linger)
	return b.String()
}

func (f *Fleet) seeds() string {
	var seeds []string
	for _, n := range f.Spec.Nodes {
		seeds = append(seeds, f.Nodes[n.ID].Peer)
	}
	return strings.Join(seeds, ", ")
}

const (
	// Ports come from below the range that the kernel takes client ports from,
	// so that no connection can take one before its process listens.
	firstPort = 10_000
	lastPort  = 30_000
)

// nextPort is where the search for the next free port begins. It starts at a
// place of this process's own, so that fleets of several processes do not meet.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 331) }

// freePorts returns ports on which nobody listens.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries > lastPort-firstPort {
			return nil, fmt.Errorf("fleet: no free ports from %d to %d", firstPort, lastPort)
		}
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, port)
	}
	return ports, nil
}
