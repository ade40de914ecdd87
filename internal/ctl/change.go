package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// newChangeID returns a random change ID.
func newChangeID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return "c-" + hex.EncodeToString(b[:])
}

func setCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "set keys at a path, as one change",
		ArgsUsage: "PATH KEY=VALUE [KEY=VALUE ...]",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usagef("set needs a path and at least one KEY=VALUE")
			}
			var edits []command.Edit
			for _, arg := range c.Args().Slice()[1:] {
				key, value, ok := strings.Cut(arg, "=")
				if !ok {
					return usagef("%q is not KEY=VALUE", arg)
				}
				edits = append(edits, command.Edit{Path: c.Args().First(), Key: key, Value: value})
			}
			return sendChange(ctx, c, edits)
		},
	}
}

func unsetCommand() *cli.Command {
	return &cli.Command{
		Name:      "unset",
		Usage:     "remove keys at a path, which then inherits them",
		ArgsUsage: "PATH KEY [KEY ...]",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return usagef("unset needs a path and at least one key")
			}
			var edits []command.Edit
			for _, key := range c.Args().Slice()[1:] {
				edits = append(edits, command.Edit{Path: c.Args().First(), Key: key, Unset: true})
			}
			return sendChange(ctx, c, edits)
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "apply all edits of a tree file, as one change",
		ArgsUsage:   "FILE",
		Flags:       changeFlags(),
		Description: "A tree file is INI with a section for each path:\n   [/services/stock]\n   deadline = 2s\nAn empty value removes the key.",
		Action: func(ctx context.Context, c *cli.Command) error {
			edits, err := fileArgument(c)
			if err != nil {
				return err
			}
			return sendChange(ctx, c, edits)
		},
	}
}

// fileArgument returns the edits of the tree file that is the only argument.
func fileArgument(c *cli.Command) ([]command.Edit, error) {
	if c.Args().Len() != 1 {
		return nil, usagef("%s needs one file", c.Name)
	}
	edits, err := ReadTreeFile(c.Args().First())
	if err != nil {
		return nil, &ExitError{ExitRefused, err}
	}
	return edits, nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a tree file without sending it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			edits, err := fileArgument(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%d edits are valid\n", len(edits))
			return nil
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "announce a drain of an upstream, a failure domain or a region",
		ArgsUsage: "NAME",
		Flags: changeFlags(
			&cli.StringFlag{Name: "service", Usage: "only this `SERVICE`"},
			&cli.StringFlag{Name: "region", Usage: "the `REGION`"},
			&cli.StringFlag{Name: "domain", Usage: "the failure `DOMAIN` of the region"},
			&cli.StringFlag{Name: "upstream", Usage: "the `ID` of one upstream"},
			&cli.DurationFlag{Name: "in", Usage: "start after this time; at once by default"},
			&cli.DurationFlag{Name: "for", Usage: "end after this time; without it the drain lasts until undrain"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := namedPath(c, "/drains/")
			if err != nil {
				return err
			}
			start := time.Now().Add(c.Duration("in"))
			edits := []command.Edit{timeEdit(path, tree.KeyStart, start)}
			for _, key := range []string{tree.KeyService, tree.KeyRegion, tree.KeyDomain, tree.KeyUpstream} {
				if v := c.String(key); v != "" {
					edits = append(edits, command.Edit{Path: path, Key: key, Value: v})
				}
			}
			if d := c.Duration("for"); d > 0 {
				edits = append(edits, timeEdit(path, tree.KeyEnd, start.Add(d)))
			}
			return sendChange(ctx, c, edits)
		},
	}
}

// timeEdit returns the edit that sets a key to a time.
func timeEdit(path, key string, at time.Time) command.Edit {
	return command.Edit{Path: path, Key: key, Value: at.UTC().Format(time.RFC3339)}
}

// namedPath returns prefix followed by the only argument, the name of a drain or move.
func namedPath(c *cli.Command, prefix string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usagef("%s needs one name", c.Name)
	}
	return prefix + c.Args().First(), nil
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "end a drain",
		ArgsUsage: "NAME",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := namedPath(c, "/drains/")
			if err != nil {
				return err
			}
			return removeAll(ctx, c, path)
		},
	}
}

// removeAll sends a change that unsets every key at a path.
func removeAll(ctx context.Context, c *cli.Command, path string) error {
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	t, err := client.Tree(ctx, path)
	if err != nil {
		return &ExitError{ExitRefused, err}
	}
	var edits []command.Edit
	for _, s := range t.Settings {
		edits = append(edits, command.Edit{Path: path, Key: s.Key, Unset: true})
	}
	if len(edits) == 0 {
		return &ExitError{ExitRefused, fmt.Errorf("%s does not exist", path)}
	}
	return sendChange(ctx, c, edits)
}

func moveCommand() *cli.Command {
	return &cli.Command{
		Name:      "move",
		Usage:     "announce a move of a share of a service's traffic from one region to another",
		ArgsUsage: "NAME",
		Flags: changeFlags(
			&cli.StringFlag{Name: "service", Usage: "the `SERVICE`", Required: true},
			&cli.StringFlag{Name: "from", Usage: "the `REGION` that traffic leaves", Required: true},
			&cli.StringFlag{Name: "to", Usage: "the `REGION` that takes it", Required: true},
			&cli.StringFlag{Name: "fraction", Usage: "`SHARE` of the region's traffic in the end, from 0 to 1", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "time from nothing to the whole share", Value: 10 * time.Minute},
			&cli.DurationFlag{Name: "in", Usage: "start after this time; at once by default"},
			&cli.StringFlag{Name: "step", Usage: "size of one step, as a share"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := namedPath(c, "/moves/")
			if err != nil {
				return err
			}
			edits := []command.Edit{
				timeEdit(path, tree.KeyStart, time.Now().Add(c.Duration("in"))),
				{Path: path, Key: tree.KeyDuration, Value: c.Duration("duration").String()},
			}
			for _, key := range []string{tree.KeyService, tree.KeyFrom, tree.KeyTo, tree.KeyFraction, tree.KeyStep} {
				if v := c.String(key); v != "" {
					edits = append(edits, command.Edit{Path: path, Key: key, Value: v})
				}
			}
			return sendChange(ctx, c, edits)
		},
	}
}
