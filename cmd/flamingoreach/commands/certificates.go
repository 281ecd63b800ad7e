package commands

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"flamingoreach/io/fleetauthority"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	nodeValidity      = 90 * 24 * time.Hour
)

func certificatesCommand() *cli.Command {
	folder := &cli.StringFlag{Name: "folder", Usage: "`FOLDER` that the files are written to", Value: "."}
	return &cli.Command{
		Name:  "certificates",
		Usage: "make the fleet's authority and the certificates by which nodes know each other",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make a new authority; keep its key off the hosts",
				Flags: []cli.Flag{folder, &cli.DurationFlag{Name: "validFor", Usage: "`TIME` of validity", Value: authorityValidity}},
				Action: func(_ context.Context, cmd *cli.Command) error {
					aut, err := fleetauthority.New(cmd.Duration("validFor"))
					if err == nil {
						err = aut.Write(cmd.String("folder"))
					}
					return failedIf(err)
				},
			},
			{
				Name: "node", Usage: "make the certificate and key of one node",
				Flags: []cli.Flag{
					folder, &cli.StringFlag{Name: "authority", Usage: "`FOLDER` with the authority", Value: "."},
					&cli.DurationFlag{Name: "validFor", Usage: "`TIME` of validity", Value: nodeValidity},
				},
				Action: func(_ context.Context, cmd *cli.Command) error {
					aut, err := fleetauthority.Read(cmd.String("authority"))
					if err != nil {
						return wrongUsage(err)
					}
					return failedIf(aut.WriteNode(cmd.String("folder"), cmd.Duration("validFor")))
				},
			},
		},
	}
}

func failedIf(err error) error {
	if err != nil {
		return failed(err)
	}
	return nil
}
