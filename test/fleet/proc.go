package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Proc is one process of the deployment. Name is also the base name of its log file.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process's ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Err returns the error of exec.Cmd.Wait, nil after exit status 0. It is valid once Done
// is closed.
func (p *Proc) Err() error { return p.err }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// start starts a binary and registers the process as name. Its output is appended to a
// log file of that name.
func (f *Fleet) start(name, binary string, args ...string) (*Proc, error) {
	log, err := os.OpenFile(f.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(f.bin, binary), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		log.Close()
		close(p.done)
	}()
	f.procs[name] = p
	return p, nil
}

// Names of a node's processes.
const (
	Agent    = "agent"
	Director = "director"
	Entry    = "entry"
)

// StartPlatform starts the stand-in of the platform and waits until it answers.
func (f *Fleet) StartPlatform() error {
	_, err := f.start("platform", "loomkeel-standin", "platform", "--listen", f.Platform, "--instances", f.path("instances.json"))
	if err != nil {
		return err
	}
	return f.waitFor("http://" + f.Platform + "/calls")
}

// StartUpstreams starts the stand-ins of all upstreams, in one process per region named
// "upstreams-REGION", and waits until all of them answer.
func (f *Fleet) StartUpstreams() error {
	for _, region := range f.regions() {
		if err := f.StartRegionUpstreams(region); err != nil {
			return err
		}
	}
	for _, u := range f.Upstreams {
		if err := f.waitFor("http://" + u.Address + "/-/runs"); err != nil {
			return err
		}
	}
	return nil
}

// StartRegionUpstreams starts the process with the stand-ins of a region's upstreams. It
// does not wait until they are ready.
func (f *Fleet) StartRegionUpstreams(region string) error {
	_, err := f.start("upstreams-"+region, "loomkeel-standin", "upstreams", "--instances", f.path("upstreams.json"),
		"--region", region, "--record", f.path("record"), "--work", f.Spec.ServiceTime.String())
	return err
}

// regions returns the regions that have upstreams, in the order of the spec.
func (f *Fleet) regions() []string {
	var out []string
	for _, g := range f.Spec.UpstreamGroups {
		if !slices.Contains(out, g.Region) {
			out = append(out, g.Region)
		}
	}
	return out
}

// StartProcess starts one process of a node: Agent, Director or Entry. It does not wait
// until the process is ready.
func (f *Fleet) StartProcess(node, process string) (*Proc, error) {
	return f.start(node+"-"+process, "loomkeel-"+process, "--settings", f.path(node+".ini"))
}

// StartNode starts all processes of an instance. It does not wait until they are ready.
func (f *Fleet) StartNode(node string) error {
	for _, p := range []string{Agent, Director, Entry} {
		if _, err := f.StartProcess(node, p); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the platform, the upstreams and all instances, and waits until the
// instances are ready.
func (f *Fleet) Start() error {
	if err := f.StartPlatform(); err != nil {
		return err
	}
	if err := f.StartUpstreams(); err != nil {
		return err
	}
	for _, n := range f.Spec.Nodes {
		if err := f.StartNode(n.ID); err != nil {
			return err
		}
	}
	for _, n := range f.Spec.Nodes {
		if err := f.WaitReady(n.ID); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until an instance's entry and director are ready.
func (f *Fleet) WaitReady(node string) error {
	a := f.Nodes[node]
	return errors.Join(f.waitFor("http://"+a.DirectorDebug+"/readyz"), f.waitFor("http://"+a.EntryDebug+"/readyz"))
}

// Proc returns the process that was last started under a name, such as "n1-entry",
// "platform" or "upstreams-REGION", or nil if there is none.
func (f *Fleet) Proc(name string) *Proc { return f.procs[name] }

// Stop kills every process that was started, also stopped ones, and closes the proxies.
func (f *Fleet) Stop() {
	for _, p := range f.procs {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, proxies := range []map[string]*TCPProxy{f.PlatformProxies, f.UpstreamProxies} {
		for _, proxy := range proxies {
			proxy.Close()
		}
	}
}

// eventuallyTimeout is how long Eventually waits for a condition. It only limits the
// time of failing runs; no check depends on how long a condition takes.
const eventuallyTimeout = 30 * time.Second

// Eventually calls ok every 10 ms until it returns nil. After eventuallyTimeout it
// returns the last error of ok.
func Eventually(ok func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	for {
		err := ok()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// waitFor waits until a URL answers with status 200.
func (f *Fleet) waitFor(url string) error {
	return Eventually(func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", url, resp.Status)
		}
		return nil
	})
}
