// Package cli implements the command line that loomkeel's daemons share.
package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/settings"
)

// Daemon describes a process that is configured by a settings file.
type Daemon struct {
	// Name is the name of the program, and Usage a one-line description for its help.
	Name  string
	Usage string
	// Ballast is the size of the heap ballast for process.InitMemory, in bytes.
	Ballast int
	// Run runs the process until ctx ends, at a signal to stop. Its error is printed before
	// the process exits with status 1.
	Run func(ctx context.Context, s *settings.Settings) error
}

// Main runs a daemon's command line and then exits the process. The subcommand check only
// validates the settings file.
func Main(d Daemon) {
	cmd := &cli.Command{
		Name:                  d.Name,
		Usage:                 d.Usage,
		Version:               process.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"s"}, Value: "/etc/loomkeel/loomkeel.ini", Usage: "settings `FILE` of the instance",
		}},
		Description: fmt.Sprintf("Example:\n   %s --settings /etc/loomkeel/loomkeel.ini\n   %s check --settings /etc/loomkeel/loomkeel.ini", d.Name, d.Name),
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			process.InitLog(s.Log.Verbosity)
			process.InitGC(d.Ballast)
			ctx, stop := process.SignalContext(ctx)
			defer stop()
			return d.Run(ctx, s)
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "read the settings, print all errors, and exit with status 1 if there are any",
			Action: func(_ context.Context, c *cli.Command) error {
				if _, err := settings.Load(c.String("settings")); err != nil {
					return err
				}
				fmt.Println("settings are valid")
				return nil
			},
		}},
	}
	Exit(d.Name, cmd.Run(context.Background(), os.Args))
}

// Exit exits the process with status 0, or, if err is not nil, with status 1 and a message
// on standard error that begins with the program's name.
func Exit(name string, err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", name, eris.ToString(err, false))
	os.Exit(1)
}
