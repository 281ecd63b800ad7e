// Measure writes the page, the figures and the plots of a measurement from the results that scripts/measure.sh produced.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/measure/measurespage"
)

func main() {
	cmd := &cli.Command{
		Name:  "measure",
		Usage: "write the page of a measurement",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "results", Usage: "folder of the results", Required: true},
			&cli.StringFlag{Name: "scenarios", Usage: "folder of the scenarios", Required: true},
			&cli.StringFlag{Name: "out", Usage: "folder of the page", Required: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the measurement", Required: true},
		},
		Action: write,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, eris.ToString(err, false))
		os.Exit(1)
	}
}

func write(_ context.Context, cmd *cli.Command) error {
	pag, err := measurespage.Read(cmd.String("results"), cmd.String("scenarios"), cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	return pag.Write(cmd.String("out"))
}
