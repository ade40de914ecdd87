package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/query"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show the effective value of a key, or the settings at a path, or all",
		ArgsUsage: "[PATH [KEY]]",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "explain", Usage: "show which path the value comes from"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			if c.Args().Len() < 2 {
				return getTree(ctx, c, client)
			}
			v, err := client.Value(ctx, c.Args().Get(0), c.Args().Get(1))
			if err != nil {
				return &ExitError{ExitRefused, err}
			}
			return printOutput(c, v, func(w io.Writer) { printValue(w, v, c.Bool("explain")) })
		},
	}
}

// printValue writes a value, with explain also the path that sets it.
func printValue(w io.Writer, v query.Value, explain bool) {
	if !explain {
		fmt.Fprintln(w, v.Value)
		return
	}
	if v.From == "" {
		fmt.Fprintf(w, "%s\tfrom the key's default\n", v.Value)
		return
	}
	fmt.Fprintf(w, "%s\tfrom %s, written at revision %d\n", v.Value, v.From, v.WrittenRevision)
}

// getTree prints the settings at the path in the first argument, or all settings.
func getTree(ctx context.Context, c *cli.Command, client *Client) error {
	t, err := client.Tree(ctx, c.Args().First())
	if err != nil {
		return &ExitError{ExitRefused, err}
	}
	return printOutput(c, t, func(w io.Writer) {
		path := ""
		for _, s := range t.Settings {
			if s.Path != path {
				path = s.Path
				fmt.Fprintf(w, "[%s]\n", path)
			}
			fmt.Fprintf(w, "%s = %s\n", s.Key, s.Value)
		}
	})
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			edits, err := fileArgument(c)
			if err != nil {
				return err
			}
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			current, err := client.Tree(ctx, "")
			if err != nil {
				return &ExitError{ExitRefused, err}
			}
			lines := diff(current, edits)
			return printOutput(c, lines, func(w io.Writer) {
				for _, l := range lines {
					fmt.Fprintln(w, l)
				}
			})
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "show the newest changes",
		Flags: []cli.Flag{&cli.IntFlag{Name: "limit", Value: 20, Usage: "largest number of changes"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			h, err := client.History(ctx, c.Int("limit"))
			if err != nil {
				return &ExitError{ExitRefused, err}
			}
			return printOutput(c, h, func(w io.Writer) {
				for _, ch := range h {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", ch.Revision, ch.Time.Format("2006-01-02 15:04:05"), ch.Author, ch.ID, ch.Note)
					for _, e := range ch.Edits {
						fmt.Fprintf(w, "\t%s %s = %s\n", e.Path, e.Key, e.Value)
					}
				}
			})
		},
	}
}

func outcomeCommand() *cli.Command {
	return &cli.Command{
		Name:      "outcome",
		Usage:     "show the outcome of a change",
		ArgsUsage: "CHANGE-ID",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usagef("outcome needs one change id")
			}
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			r, err := client.Outcome(ctx, c.Args().First())
			if err != nil {
				return &ExitError{ExitUnknown, err}
			}
			if err := printResult(c, r); err != nil {
				return err
			}
			return resultError(r)
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the instances in the agent's member list",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			ms, err := client.Members(ctx)
			if err != nil {
				return &ExitError{ExitRefused, err}
			}
			return printOutput(c, ms, func(w io.Writer) {
				tw := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
				fmt.Fprintln(tw, "INSTANCE\tREGION\tDOMAIN\tSTATE\tENTRY\tDIRECTOR")
				for _, m := range ms {
					fmt.Fprintln(tw, strings.Join([]string{m.ID, m.Region, m.Domain, m.State.String(), m.Entry, m.Director}, "\t"))
				}
				tw.Flush()
			})
		},
	}
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "show the state of every process of the agent's instance, as JSON",
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := clientFromFlags(c)
			if err != nil {
				return err
			}
			d, err := client.Dump(ctx)
			if err != nil {
				return &ExitError{ExitRefused, err}
			}
			names := make([]string, 0, len(d))
			for n := range d {
				names = append(names, n)
			}
			sort.Strings(names)
			return printOutput(c, d, func(w io.Writer) {
				for _, n := range names {
					b, _ := json.MarshalIndent(d[n], "", "  ")
					fmt.Fprintf(w, "%s: %s\n", n, b)
				}
			})
		},
	}
}
