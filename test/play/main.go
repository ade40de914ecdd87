// Command play compares policies for placing, queueing and refusing requests. It simulates
// named loads and random deployments in virtual time and prints the results of callers'
// requests under each policy.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"

	urfave "github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/sim"
)

const name = "play"

func main() {
	cmd := &urfave.Command{
		Name:  name,
		Usage: "simulate load and compare policies for placing, queueing and refusing requests",
		Flags: []urfave.Flag{&urfave.StringFlag{Name: "settings", Usage: "INI `FILE` with a section [play] and its keys deployments, first_seed, policies, loads"}},
		Action: func(_ context.Context, c *urfave.Command) error {
			s, err := load(c.String("settings"))
			if err != nil {
				return err
			}
			compareNamed(s)
			return compareRandom(s)
		},
	}
	cli.Exit(name, cmd.Run(context.Background(), os.Args))
}

// names returns the keys of a map, sorted.
func names[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// columns are the column heads of a row: the earned part of the total value, then shares of
// all requests.
const columns = "value ratio | in time | late | refused | failed"

// row returns the cells of a tally in a table row.
func row(t sim.Tally) string {
	sent := float64(max(1, t.Sent))
	return fmt.Sprintf("%.3f | %.3f | %.3f | %.3f | %.3f", t.ValueRatio(),
		float64(t.InTime)/sent, float64(t.Late)/sent, float64(t.Refused)/sent, float64(t.Failed)/sent)
}

// compareNamed simulates the named loads and prints a table for each.
func compareNamed(s settings) {
	for _, load := range s.Loads {
		fmt.Printf("\n### %s\n\n| policy | %s |\n| --- | --- | --- | --- | --- | --- |\n", load, columns)
		for _, policy := range s.Policies {
			total := sim.New(sim.Scenarios[load](), uint64(s.FirstSeed), sim.Policies[policy]).Run().Total()
			fmt.Printf("| %s | %s |\n", policy, row(total))
		}
	}
}

// compareRandom simulates random deployments and prints a table of the results of all.
func compareRandom(s settings) error {
	if s.Deployments == 0 {
		return nil
	}
	fmt.Printf("\n### %d random deployments from seed %d: means, and the mean of the worst tenth\n\n", s.Deployments, s.FirstSeed)
	fmt.Printf("| policy | mean value ratio | worst tenth | %s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n", columns)
	for _, policy := range s.Policies {
		tallies := make([]sim.Tally, s.Deployments)
		var simulations errgroup.Group
		simulations.SetLimit(runtime.GOMAXPROCS(0))
		for i := range tallies {
			simulations.Go(func() error {
				seed := uint64(s.FirstSeed + i)
				tallies[i] = sim.New(sim.RandomScenario(seed), seed, sim.Policies[policy]).Run().Total()
				return nil
			})
		}
		if err := simulations.Wait(); err != nil {
			return err
		}
		mean, worst, all := summary(tallies)
		fmt.Printf("| %s | %.4f | %.4f | %s |\n", policy, mean, worst, row(all))
	}
	return nil
}

// summary returns the mean of the tallies' value ratios, the mean of the lowest tenth of them,
// and the sum of the tallies.
func summary(tallies []sim.Tally) (mean, worst float64, all sim.Tally) {
	values := make([]float64, len(tallies))
	for i, t := range tallies {
		values[i] = t.ValueRatio()
		mean += values[i] / float64(len(tallies))
		all = all.Add(t)
	}
	slices.Sort(values)
	tenth := max(1, len(values)/10)
	for _, v := range values[:tenth] {
		worst += v / float64(tenth)
	}
	return mean, worst, all
}
