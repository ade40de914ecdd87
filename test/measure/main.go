// Command measure runs both users' deployments at their full size as real
// processes. It prints a table of the results of callers' requests, and of the
// load of upstreams, in phases: calm, rush, overload, a drain, the loss of a
// failure domain and the loss of a region. Latency between regions is not
// emulated.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/loomkeel/loomkeel/test/fleet"
)

// service is one service of a deployment: upstreams is the number of its upstreams in all
// regions, slots the number of slots of each.
type service struct {
	name      string
	method    string
	repeat    string
	upstreams int
	slots     int
	// serviceTime is the time that an upstream takes for one request. The users give
	// none; it is chosen long enough for one machine to generate the load for all slots.
	serviceTime time.Duration
	deadline    time.Duration
}

// deployment is that of one user.
type deployment struct {
	name     string
	regions  []string
	services []service
}

// deployments are those of both users.
var deployments = []deployment{
	{"garden centres", []string{"muscat", "batinah", "dakhiliyah"}, []service{
		{"stock", "GET", "safe", 24, 9, 100 * time.Millisecond, 2 * time.Second},
		{"orders", "POST", "unsafe", 12, 6, 100 * time.Millisecond, 5 * time.Second},
		{"design", "POST", "unsafe", 12, 3, 100 * time.Millisecond, 5 * time.Second},
	}},
	{"authority", []string{"muscat", "sohar", "salalah"}, []service{
		{"history", "GET", "safe", 18, 6, 100 * time.Millisecond, 2 * time.Second},
		{"adjustments", "POST", "unsafe", 12, 5, 100 * time.Millisecond, 5 * time.Second},
		{"intake", "POST", "unsafe", 12, 3, 100 * time.Millisecond, 5 * time.Second},
	}},
}

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	phase := flag.Duration("phase", 8*time.Second, "length of each phase")
	only := flag.String("only", "", "only the deployment of this name")
	flag.Parse()
	for _, d := range deployments {
		if *only != "" && *only != d.name {
			continue
		}
		if err := measure(*bin, d, *phase); err != nil {
			fmt.Fprintf(os.Stderr, "measure: %s: %v\n", d.name, err)
			os.Exit(1)
		}
	}
}

// spec returns the deployment with two failure domains in each region and two instances in
// each failure domain, twelve in all.
func (d deployment) spec() fleet.Spec {
	s := fleet.Spec{Linger: time.Second, ServiceTime: d.services[0].serviceTime}
	for _, region := range d.regions {
		for _, letter := range []string{"a", "b"} {
			domain := region + "-" + letter
			for i := range 2 {
				s.Nodes = append(s.Nodes, fleet.Node{ID: fmt.Sprintf("%s-%d", domain, i), Region: region, Domain: domain})
			}
			for _, svc := range d.services {
				s.UpstreamGroups = append(s.UpstreamGroups, fleet.UpstreamGroup{
					Service: svc.name, Region: region, Domain: domain,
					Count: svc.upstreams / (2 * len(d.regions)), Slots: svc.slots,
				})
			}
		}
	}
	return s
}

// measure runs one deployment through all phases and prints its table.
func measure(bin string, d deployment, phase time.Duration) error {
	dir, err := os.MkdirTemp("", "loomkeel-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(bin, dir, d.spec())
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		return err
	}
	b := &bench{fleet: f, deployment: d}
	if err := b.configure(); err != nil {
		return err
	}
	fmt.Printf("\n### %s: %d instances, %d upstreams\n\n", d.name, len(f.Nodes), len(f.Upstreams))
	fmt.Println("| phase | service | sent | answered in time | p50 ms | p99 ms | p99.9 ms | not run | may have run | fullest region: peak of slots |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	return b.phases(phase)
}
