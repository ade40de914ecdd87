// Package fleet runs a small deployment of loomkeel as separate processes on
// loopback, with stand-ins for the platform and the upstreams. The quick start,
// the fault-injection tests and the measuring commands use it.
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

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// Spec describes a deployment.
type Spec struct {
	// Nodes are the instances of loomkeel.
	Nodes []Node
	// UpstreamGroups are the upstreams that run as stand-ins.
	UpstreamGroups []UpstreamGroup
	// PlaceholderUpstreams are added to the platform's instance list, but no process
	// runs for them.
	PlaceholderUpstreams []coordination.Instance
	// ServiceTime is the time that an upstream takes for one request.
	ServiceTime time.Duration
	// UseProxies puts a TCP proxy between each node and the platform, and between
	// the entries and each upstream, so that tests can block these connections.
	UseProxies bool
	// Linger is the time for which a stopping entry still accepts requests.
	Linger time.Duration
}

// Node is one instance of loomkeel.
type Node struct{ ID, Region, Domain string }

// UpstreamGroup describes Count upstreams of one service in one failure domain, each
// with Slots slots.
type UpstreamGroup struct {
	Service, Region, Domain string
	Count, Slots            int
}

// Addresses holds the listen addresses (HOST:PORT) of one instance's processes.
type Addresses struct {
	Peer, Operator, Director, DirectorDebug, Entry, EntryDebug string
}

// Fleet is a deployment and its processes.
type Fleet struct {
	Spec Spec
	// Platform is the address of the platform's stand-in.
	Platform string
	// Nodes holds the addresses of the instances by ID.
	Nodes map[string]Addresses
	// Upstreams are the upstreams that run as stand-ins. They have their own addresses
	// here, not those of their proxies.
	Upstreams []coordination.Instance
	// PlatformProxies has the proxies between nodes and platform by node ID,
	// UpstreamProxies those in front of upstreams by upstream ID. Both are empty
	// without Spec.UseProxies.
	PlatformProxies, UpstreamProxies map[string]*TCPProxy

	// bin is the directory of the binaries, dir that of settings files and logs.
	bin, dir string
	procs    map[string]*Proc
}

// New prepares a deployment: it chooses free ports, starts the proxies and writes the
// settings files and instance lists to dir, which also takes the logs. Bin is the
// directory of the binaries. No process is started.
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
	instances := f.assignAddresses(next)
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

// writeList writes an instance list as JSON to a file of the deployment's directory.
func (f *Fleet) writeList(name string, instances []coordination.Instance) error {
	body, err := json.MarshalIndent(instances, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(name), body, 0o600)
}

// addProxies starts the proxies and replaces the upstreams' addresses in instances by
// those of their proxies.
func (f *Fleet) addProxies(instances []coordination.Instance) error {
	if !f.Spec.UseProxies {
		return nil
	}
	for _, n := range f.Spec.Nodes {
		p, err := NewTCPProxy(f.Platform)
		if err != nil {
			return err
		}
		f.PlatformProxies[n.ID] = p
	}
	for i := range instances {
		if instances[i].Kind != coordination.KindUpstream {
			continue
		}
		p, err := NewTCPProxy(instances[i].Address)
		if err != nil {
			return err
		}
		f.UpstreamProxies[instances[i].ID] = p
		instances[i].Address = p.Addr()
	}
	return nil
}

// platformAddress returns the platform's address for a node: that of its proxy, if it
// has one.
func (f *Fleet) platformAddress(node string) string {
	if p := f.PlatformProxies[node]; p != nil {
		return p.Addr()
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

// assignAddresses fills in f.Nodes and f.Upstreams with addresses from next, and returns
// the instance list of all nodes and upstreams.
func (f *Fleet) assignAddresses(next func() string) []coordination.Instance {
	var list []coordination.Instance
	for _, n := range f.Spec.Nodes {
		a := Addresses{next(), next(), next(), next(), next(), next()}
		f.Nodes[n.ID] = a
		list = append(list, coordination.Instance{ID: n.ID, Kind: coordination.KindNode, Region: n.Region, Domain: n.Domain, Address: a.Peer})
	}
	for _, g := range f.Spec.UpstreamGroups {
		for i := range g.Count {
			u := coordination.Instance{
				ID:      fmt.Sprintf("%s-%s-%d", g.Service, g.Domain, i+1),
				Kind:    coordination.KindUpstream,
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

// settings returns the content of a node's settings file.
func (f *Fleet) settings(n Node) string {
	a := f.Nodes[n.ID]
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nid = %s\nregion = %s\ndomain = %s\n\n", n.ID, n.Region, n.Domain)
	fmt.Fprintf(&b, "[platform]\naddress = http://%s\ntimeout = 1s\n\n", f.platformAddress(n.ID))
	fmt.Fprintf(&b, "[agent]\npeer = %s\noperator = %s\nseeds = %s\n\n", a.Peer, a.Operator, f.seeds())
	fmt.Fprintf(&b, "[director]\nlisten = %s\ndebug = %s\n\n", a.Director, a.DirectorDebug)
	fmt.Fprintf(&b, "[entry]\nlisten = %s\ndebug = %s\nlinger = %s\n\n[log]\nverbosity = 1\n", a.Entry, a.EntryDebug, f.Spec.Linger)
	return b.String()
}

// seeds returns the peer addresses of all nodes as a settings value.
func (f *Fleet) seeds() string {
	var seeds []string
	for _, n := range f.Spec.Nodes {
		seeds = append(seeds, f.Nodes[n.ID].Peer)
	}
	return strings.Join(seeds, ", ")
}

const (
	// Ports are taken from below the kernel's ephemeral range, so that no outgoing
	// connection can take a port before its process listens on it.
	firstPort = 10_000
	lastPort  = 30_000
)

// nextPort is where the search for the next free port continues. Its start depends on
// the process ID, so that test processes that run at the same time seldom try the same
// ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 331) }

// freePorts returns n loopback ports on which no process listens.
func freePorts(n int) ([]int, error) {
	var ports []int
	for attempts := 0; len(ports) < n; attempts++ {
		if attempts > lastPort-firstPort {
			return nil, fmt.Errorf("fleet: not enough free ports from %d to %d", firstPort, lastPort)
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
