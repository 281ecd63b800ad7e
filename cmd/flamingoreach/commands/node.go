package commands

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/node"
	"flamingoreach/io/settingsfile"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run the node beside a backend server until SIGTERM, which drains it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.StringFlag{Name: "record", Usage: "record a trace into `FILE`, in place of the settings' record.file"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			set, err := settingsfile.Read(cmd.String("settings"))
			if err != nil {
				return wrongUsage(err)
			}
			if name := cmd.String("record"); name != "" {
				set.Record.File = name
			}
			nod, err := node.New(set, newLogger(cmd.Root().ErrWriter, set.Logs.Level))
			if err != nil {
				return wrongUsage(err)
			}
			if err := nod.Run(ctx); err != nil {
				return failed(err)
			}
			return nil
		},
	}
}

// newLogger returns a logger that writes JSON lines.
func newLogger(wri io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(wri, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, Level: level})
}
