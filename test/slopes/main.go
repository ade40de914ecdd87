// Command slopes measures how the costs of the parts of loomkeel (bytes sent,
// processor time, memory and store calls) grow with their size. The figures in
// docs/CAPACITY.md are computed from its output.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "slopes",
		Usage: "measure costs against size",
		Commands: []*cli.Command{
			{
				Name:  "fleet",
				Usage: "agents on loopback in this process: bytes, processor time, store calls, time in force",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "agents", Value: []int{25, 50, 100, 200}, Usage: "fleet sizes"},
					&cli.IntFlag{Name: "per-domain", Value: 32, Usage: "agents in a failure domain"},
					&cli.IntFlag{Name: "ghosts", Usage: "synthetic members added to the member list of every agent, for tables of full size"},
					&cli.IntFlag{Name: "changes", Value: 40, Usage: "configuration changes"},
					&cli.DurationFlag{Name: "idle", Value: 10e9, Usage: "time without changes"},
					&cli.DurationFlag{Name: "gap", Value: 250e6, Usage: "time between changes"},
				},
				Action: measureFleets,
			},
			{
				Name:  "processes",
				Usage: "memory of real processes with client blocks loaded, and the start of a new instance",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the binaries"},
					&cli.IntFlag{Name: "blocks", Value: blocks},
					&cli.IntFlag{Name: "upstreams", Value: upstreams, Usage: "further upstreams in the platform's instance list, for which no process runs"},
				},
				Action: measureProcesses,
			},
			{Name: "memory", Usage: "bytes of memory per block, upstream, member and path", Action: measureMemory},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// machine describes the Go version and machine of this process.
func machine() string {
	return fmt.Sprintf("%s, %s/%s, %d processors", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
}
