package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// nodeProgram is the program of the deploy file.
	nodeProgram = "target/loomkeel-node"
	// metricsPort is the port of the deploy file.
	metricsPort = "9090"
	readyWait   = 15 * time.Second
)

// zone is a failure domain with its region.
type zone struct{ name, region string }

// nodeOptions describe a node.
type nodeOptions struct {
	name   string
	zone   zone
	zones  []zone
	ip     string
	store  string
	bounds []string
}

// node is a process of the project.
type node struct {
	nodeOptions
	front, readiness, directory string
	cmd                         *exec.Cmd
	ended                       chan struct{}
	rec                         *record
}

// ports returns free ports of an IP address.
func ports(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// startNode starts a node with settings like those of a small deployment and waits until it is ready.
func startNode(rec *record, dir string, opt nodeOptions) (*node, error) {
	free, err := ports(opt.ip, 5)
	if err != nil {
		return nil, err
	}
	n := &node{nodeOptions: opt, rec: rec, ended: make(chan struct{})}
	at := func(i int) string { return fmt.Sprintf("%s:%d", opt.ip, free[i]) }
	n.front, n.readiness, n.directory = at(0), at(1), at(2)
	path := filepath.Join(dir, opt.name+".yaml")
	if err := os.WriteFile(path, []byte(n.settings(at(3), free[4])), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, opt.name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n.cmd = exec.Command(nodeProgram)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LOOMKEEL_NODE_FILE=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	rec.addf("%s: started, front %s", n.name, n.front)
	go func() {
		_ = n.cmd.Wait()
		rec.addf("%s: process ended", n.name)
		close(n.ended)
	}()
	return n, nil
}

// settings returns the text of the settings file.
func (n *node) settings(control string, internal int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node: %q\nrole: \"node\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n  - \"directory\"\n", n.name)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: %q\nzones:\n", n.ip, n.zone.name, n.zone.region)
	for _, z := range n.zones {
		fmt.Fprintf(&b, "  %s: %q\n", z.name, z.region)
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  readiness: %q\n  control: %q\n  directory: %q\n", n.front, n.readiness, control, n.directory)
	fmt.Fprintf(&b, "internalPortRange:\n  - %d\n  - %d\nseeds: []\nbootstrap: true\ntoleranceMember: false\n", internal, internal)
	b.WriteString("limits:\n  cpuShare: 0.32\n  cores: 1\n  memoryMb: 284\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n")
	b.WriteString("dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatS: 1.5\nbounds:\n")
	for _, bound := range n.bounds {
		fmt.Fprintf(&b, "  - %q\n", bound)
	}
	fmt.Fprintf(&b, "provider:\n  address: %q\n  form: \"kv\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n  ttlMinS: 1\n", n.store)
	return b.String()
}

// waitReady waits until the platform's check of the node is answered with 200.
func (n *node) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.readiness + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.rec.addf("%s: ready", n.name)
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

// signal sends a signal to the node's process.
func (n *node) signal(sig syscall.Signal) {
	n.rec.addf("%s: gets signal %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// kill ends the node's process.
func (n *node) kill() {
	select {
	case <-n.ended:
		return
	default:
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}
