package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/test/fleet"
)

// memorySettleTime is the pause between a start and a measurement of memory, in which the
// garbage collector runs.
const memorySettleTime = 5 * time.Second

// editsPerChange is the number of blocks per change, so that a change does not exceed the
// largest record.
const editsPerChange = 900

// measureProcesses loads client blocks into a small deployment of real processes. It prints
// the memory of the processes before and after, and the time until a new instance is ready
// with the blocks.
func measureProcesses(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "loomkeel-slopes-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	spec := fleet.Spec{ServiceTime: 5 * time.Millisecond, Linger: time.Second}
	for _, d := range []string{"a", "b", "c"} {
		spec.Nodes = append(spec.Nodes, fleet.Node{ID: "n-" + d, Region: "muscat", Domain: "muscat-" + d})
		spec.UpstreamGroups = append(spec.UpstreamGroups, fleet.UpstreamGroup{Service: "stock", Region: "muscat", Domain: "muscat-" + d, Count: 8, Slots: 9})
	}
	spec.PlaceholderUpstreams = placeholders(c.Int("upstreams"))
	f, err := fleet.New(c.String("bin"), dir, spec)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		return err
	}
	fmt.Println("machine:", machine())
	printMemory(f, "without blocks", "n-a", "n-b")
	start := time.Now()
	revision, err := loadBlocks(ctx, f, c.Int("blocks"))
	if err != nil {
		return err
	}
	if err := f.WaitRevision(revision, "n-a", "n-b", "n-c"); err != nil {
		return err
	}
	fmt.Printf("%d blocks in %d changes, in force at 3 instances after %v\n", c.Int("blocks"), revision, time.Since(start).Round(time.Millisecond))
	time.Sleep(5 * time.Second)
	printMemory(f, "with blocks", "n-a", "n-b")
	return replaceInstance(f, revision)
}

// placeholders returns n entries of upstreams for the instance list, for which no process
// runs.
func placeholders(n int) []coordination.Instance {
	out := make([]coordination.Instance, n)
	for i := range out {
		out[i] = coordination.Instance{
			ID: fmt.Sprintf("phantom-%d", i), Kind: coordination.KindUpstream, Service: fmt.Sprintf("service-%d", i%40),
			Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%101),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, byte(i>>8), byte(i)), Slots: 9, Connections: 400,
		}
	}
	return out
}

// loadBlocks writes n client blocks through the agent of n-a and returns the last revision.
func loadBlocks(ctx context.Context, f *fleet.Fleet, n int) (uint64, error) {
	client := f.Client("n-a")
	var revision uint64
	for from := 0; from < n; from += editsPerChange {
		ch := command.Change{ID: fmt.Sprintf("blocks-%d", from), Author: "import"}
		for i := from; i < min(n, from+editsPerChange); i++ {
			addr := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
			ch.Edits = append(ch.Edits, command.Edit{
				Path:  fmt.Sprintf("/blocks/b%d", i/10_000),
				Key:   netip.PrefixFrom(addr, 24).String(),
				Value: fmt.Sprintf("region-%d,region-%d", i%regions, (i+1)%regions),
			})
		}
		r, err := client.Change(ctx, ch)
		if err != nil {
			return 0, err
		}
		if r.Outcome != configlog.Accepted {
			return 0, fmt.Errorf("change of blocks was refused: %v", r.Faults)
		}
		revision = r.Revision
	}
	return revision, nil
}

// replaceInstance kills and starts the instance n-c, and prints the time until its entry and
// director are ready with the newest revision, and their memory.
func replaceInstance(f *fleet.Fleet, revision uint64) error {
	for _, p := range []string{fleet.Entry, fleet.Director, fleet.Agent} {
		f.Proc("n-c-" + p).Kill()
	}
	start := time.Now()
	if err := f.StartNode("n-c"); err != nil {
		return err
	}
	if err := f.WaitRevision(revision, "n-c"); err != nil {
		return err
	}
	if err := f.WaitReady("n-c"); err != nil {
		return err
	}
	fmt.Printf("replaced instance ready at revision %d after %v\n", revision, time.Since(start).Round(time.Millisecond))
	time.Sleep(memorySettleTime)
	printMemory(f, "replaced", "n-c")
	return nil
}

// printMemory prints the memory of all processes of nodes.
func printMemory(f *fleet.Fleet, when string, nodes ...string) {
	for _, n := range nodes {
		for _, p := range []string{fleet.Agent, fleet.Director, fleet.Entry} {
			rss, peak := memoryOf(f.Proc(n + "-" + p).PID())
			fmt.Printf("%-15s %s %-9s resident %s, peak %s\n", when, n, p, rss, peak)
		}
	}
}

// memoryOf returns the resident memory of a process and its peak as /proc shows them, or
// "?" if they cannot be read.
func memoryOf(pid int) (rss, peak string) {
	b, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "status"))
	if err != nil {
		return "?", "?"
	}
	for line := range strings.Lines(string(b)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "VmRSS":
			rss = strings.TrimSpace(value)
		case "VmHWM":
			peak = strings.TrimSpace(value)
		}
	}
	return rss, peak
}
