// Command play compares policies of placing, queueing and refusing: it plays named loads
// and random deployments in virtual time and prints what callers get under each.
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
		Usage: "play load against the decisions alone and compare policies",
		Flags: []urfave.Flag{&urfave.StringFlag{Name: "settings", Usage: "INI `FILE` with a section [play]: deployments, first_seed, policies, loads"}},
		Action: func(_ context.Context, c *urfave.Command) error {
			s, err := load(c.String("settings"))
			if err != nil {
				return err
			}
			playNamed(s)
			return playRandom(s)
		},
	}
	cli.Exit(name, cmd.Run(context.Background(), os.Args))
}

// names returns the keys of a map in order.
func names[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// columns are the heads of what row prints: shares of all requests.
const columns = "worth | in time | late | refused | failed"

func row(t sim.Tally) string {
	asked := float64(max(1, t.Sent))
	return fmt.Sprintf("%.3f | %.3f | %.3f | %.3f | %.3f", t.ValueRatio(),
		float64(t.InTime)/asked, float64(t.Late)/asked, float64(t.Refused)/asked, float64(t.Failed)/asked)
}

// playNamed prints a table for each named load.
func playNamed(s settings) {
	for _, load := range s.Loads {
		fmt.Printf("\n### %s\n\n| policy | %s |\n| --- | --- | --- | --- | --- | --- |\n", load, columns)
		for _, policy := range s.Policies {
			sum := sim.New(sim.Scenarios[load](), uint64(s.FirstSeed), sim.Policies[policy]).Run().Total()
			fmt.Printf("| %s | %s |\n", policy, row(sum))
		}
	}
}

// playRandom prints a table over random deployments.
func playRandom(s settings) error {
	if s.Deployments == 0 {
		return nil
	}
	fmt.Printf("\n### %d random deployments from seed %d: means, and the mean of the worst tenth\n\n", s.Deployments, s.FirstSeed)
	fmt.Printf("| policy | mean worth | worst tenth | %s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n", columns)
	for _, policy := range s.Policies {
		tallies := make([]sim.Tally, s.Deployments)
		var plays errgroup.Group
		plays.SetLimit(runtime.GOMAXPROCS(0))
		for i := range tallies {
			plays.Go(func() error {
				seed := uint64(s.FirstSeed + i)
				tallies[i] = sim.New(sim.RandomScenario(seed), seed, sim.Policies[policy]).Run().Total()
				return nil
			})
		}
		if err := plays.Wait(); err != nil {
			return err
		}
		mean, worst, all := summary(tallies)
		fmt.Printf("| %s | %.4f | %.4f | %s |\n", policy, mean, worst, row(all))
	}
	return nil
}

// summary returns the mean worth, that of the worst tenth, and the sum.
func summary(tallies []sim.Tally) (mean, worst float64, all sim.Tally) {
	worths := make([]float64, len(tallies))
	for i, t := range tallies {
		worths[i] = t.ValueRatio()
		mean += worths[i] / float64(len(tallies))
		all = all.Add(t)
	}
	slices.Sort(worths)
	tenth := max(1, len(worths)/10)
	for _, w := range worths[:tenth] {
		worst += w / float64(tenth)
	}
	return mean, worst, all
}
