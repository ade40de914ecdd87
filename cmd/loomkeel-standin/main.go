// Command loomkeel-standin simulates the platform and upstreams for tests and
// the quick start.
package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	lcli "github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/standin"
)

func main() {
	cmd := &cli.Command{
		Name:    "loomkeel-standin",
		Usage:   "simulate the platform or upstreams",
		Version: process.Version,
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "serve a key-value service and an instance list",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "`ADDRESS` to listen on"},
					&cli.StringFlag{Name: "instances", Usage: "JSON `FILE` with the instance list"},
				},
				Action: runPlatform,
			},
			{
				Name:  "upstreams",
				Usage: "serve all upstreams of an instance list",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "instances", Usage: "JSON `FILE` with the instance list", Required: true},
					&cli.StringFlag{Name: "region", Usage: "serve only the upstreams of this `REGION`"},
					&cli.StringFlag{Name: "record", Usage: "`FILE` that gets a line for each run"},
					&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "how long a request takes"},
				},
				Action: runUpstreams,
			},
		},
	}
	lcli.Exit(cmd.Name, cmd.Run(context.Background(), os.Args))
}

// readInstances returns the instance list in a JSON file, or nil for no file.
func readInstances(file string) ([]coordination.Instance, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list []coordination.Instance
	return list, eris.Wrapf(json.Unmarshal(b, &list), "%s", file)
}

// runPlatform serves the simulated platform until a signal to stop.
func runPlatform(ctx context.Context, c *cli.Command) error {
	ctx, stop := process.SignalContext(ctx)
	defer stop()
	list, err := readInstances(c.String("instances"))
	if err != nil {
		return err
	}
	p := &standin.Server{Store: standin.NewStore(), Instances: standin.NewInstanceList(list)}
	srv, err := process.Listen(c.String("listen"), p.Handler())
	if err != nil {
		return err
	}
	go srv.Serve()
	<-ctx.Done()
	return nil
}

// runUpstreams serves the simulated upstreams until a signal to stop. The upstreams of one
// service and region share an InFlightGauge.
func runUpstreams(ctx context.Context, c *cli.Command) error {
	ctx, stop := process.SignalContext(ctx)
	defer stop()
	list, err := readInstances(c.String("instances"))
	if err != nil {
		return err
	}
	record, err := openRecord(c.String("record"))
	if err != nil {
		return err
	}
	gauges := make(map[string]*standin.InFlightGauge)
	for _, i := range list {
		if i.Kind != coordination.KindUpstream || c.String("region") != "" && i.Region != c.String("region") {
			continue
		}
		group := i.Service + " " + i.Region
		if gauges[group] == nil {
			gauges[group] = new(standin.InFlightGauge)
		}
		u := standin.NewUpstream(i.ID, i.Slots, c.Duration("work"))
		u.RunLog, u.Gauge = record, gauges[group]
		srv, err := process.Listen(i.Address, u.Handler())
		if err != nil {
			return err
		}
		go srv.Serve()
	}
	<-ctx.Done()
	return nil
}

// openRecord opens the file to which a line is appended for each run, or returns nil for no
// file. Each line is written by one call, so that several processes can share the file.
func openRecord(file string) (io.Writer, error) {
	if file == "" {
		return nil, nil
	}
	return os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
