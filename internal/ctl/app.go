package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/process"
)

// Exit statuses of loomkeelctl: a change was accepted or a query answered, the change was
// refused or the query failed, the command line was wrong, or the outcome of a change is
// unknown.
const (
	ExitAccepted = 0
	ExitRefused  = 1
	ExitUsage    = 2
	ExitUnknown  = 3
)

// ExitError is an error with the exit status that it causes. An error without text is not
// printed.
type ExitError struct {
	Status int
	Err    error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitStatus returns the exit status after err: that of its ExitError, or ExitUsage if it
// has none.
func ExitStatus(err error) int {
	var s *ExitError
	switch {
	case err == nil:
		return ExitAccepted
	case errors.As(err, &s):
		return s.Status
	}
	return ExitUsage
}

// usagef returns an ExitError for a wrong command line.
func usagef(format string, args ...any) error {
	return &ExitError{ExitUsage, fmt.Errorf(format, args...)}
}

// Main runs loomkeelctl's command line and then exits the process.
func Main() {
	err := New(os.Stdout).Run(context.Background(), os.Args)
	if err != nil && err.Error() != "" {
		fmt.Fprintln(os.Stderr, "loomkeelctl:", err)
	}
	os.Exit(ExitStatus(err))
}

// New returns loomkeelctl's command line, with output to w.
func New(w io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "loomkeelctl",
		Usage:                 "steer traffic: edit the tree of settings, announce drains and moves, show the state",
		Version:               process.Version,
		EnableShellCompletion: true,
		Writer:                w,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "Exit status: 0 accepted, 1 refused, 2 wrong usage, 3 unknown.\n" +
			"Examples:\n" +
			"   loomkeelctl set /services/stock deadline=2s\n" +
			"   loomkeelctl drain night-work --region muscat --domain muscat-a\n" +
			"   loomkeelctl get --explain /services/stock/regions/muscat deadline",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "agent", Value: "127.0.0.1:7071", Usage: "operator `ADDRESS` of any agent", Sources: cli.EnvVars("LOOMKEEL_AGENT")},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("LOOMKEEL_TOKEN_FILE")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		},
		Commands: []*cli.Command{
			getCommand(), setCommand(), unsetCommand(), applyCommand(), diffCommand(), historyCommand(),
			drainCommand(), undrainCommand(), moveCommand(), outcomeCommand(), statusCommand(), dumpCommand(), checkCommand(),
		},
	}
}

// changeFlags returns the flags of every command that sends a change, after those in more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.Uint64Flag{Name: "if-revision", Usage: "refuse if a path was written after `REVISION`"},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change, to send a change with unknown outcome again"},
		&cli.StringFlag{Name: "note", Usage: "`TEXT` for the history"},
		&cli.StringFlag{Name: "author", Usage: "`NAME` for the history; the user's by default"},
	)
}

// sendChange sends edits as one change and prints the result. The change ID is random
// unless a flag sets it.
func sendChange(ctx context.Context, c *cli.Command, edits []command.Edit) error {
	client, err := clientFromFlags(c)
	if err != nil {
		return err
	}
	ch := command.Change{ID: c.String("change-id"), Author: changeAuthor(c), Note: c.String("note"), Base: c.Uint64("if-revision"), Edits: edits}
	if ch.ID == "" {
		ch.ID = newChangeID()
	}
	res, err := client.Change(ctx, ch)
	if err != nil {
		return &ExitError{ExitUnknown, fmt.Errorf("outcome unknown: %w\nask again with: loomkeelctl outcome %s, or send the same change with --change-id %s", err, ch.ID, ch.ID)}
	}
	if err := printResult(c, res); err != nil {
		return err
	}
	return resultError(res)
}

// resultError returns nil for an accepted change, and otherwise an ExitError without text,
// because the result has been printed already.
func resultError(res command.Result) error {
	switch {
	case accepted(res):
		return nil
	case res.Outcome == configlog.Unknown:
		return &ExitError{ExitUnknown, errors.New("")}
	}
	return &ExitError{ExitRefused, errors.New("")}
}

// clientFromFlags returns a client of the agent that the flags name. It also checks the
// flag --output.
func clientFromFlags(c *cli.Command) (*Client, error) {
	if o := c.String("output"); o != "text" && o != "json" {
		return nil, usagef("--output is %q, allowed are text and json", o)
	}
	client, err := NewClient(c.String("agent"), c.String("token-file"))
	if err != nil {
		return nil, usagef("token file: %w", err)
	}
	return client, nil
}

// changeAuthor returns the author of a change: the flag --author, the user's name or
// "unknown".
func changeAuthor(c *cli.Command) string {
	if a := c.String("author"); a != "" {
		return a
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// printOutput writes v as JSON if --output is json, and otherwise calls text to write it.
func printOutput(c *cli.Command, v any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if c.String("output") != "json" {
		text(w)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printResult writes the result of a change.
func printResult(c *cli.Command, r command.Result) error {
	return printOutput(c, r, func(w io.Writer) {
		switch r.Outcome {
		case configlog.Accepted:
			fmt.Fprintf(w, "accepted at revision %d (change %s)\n", r.Revision, r.ID)
		case configlog.Refused:
			fmt.Fprintf(w, "refused (%s)\n", r.Kind)
		default:
			fmt.Fprintf(w, "outcome unknown; ask again with: loomkeelctl outcome %s\n", r.ID)
		}
		for _, f := range r.Faults {
			fmt.Fprintln(w, "  "+f)
		}
		if r.RetryAfterMillis > 0 {
			fmt.Fprintf(w, "  try again in %d ms\n", r.RetryAfterMillis)
		}
	})
}
