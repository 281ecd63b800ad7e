package commands

import (
	"context"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/charts"
	"flamingoreach/io/diagram"
)

func chartsCommand() *cli.Command {
	return &cli.Command{
		Name:      "charts",
		Usage:     "print the state charts that this program interprets as Mermaid diagrams",
		ArgsUsage: "[NAME]",
		Action: func(_ context.Context, cmd *cli.Command) error {
			names := charts.Names()
			if name := cmd.Args().First(); name != "" {
				if !slices.Contains(names, name) {
					return wrongUsage(eris.Errorf("no chart %q; there are %v", name, names))
				}
				names = []string{name}
			}
			for _, name := range names {
				if _, err := fmt.Fprintln(cmd.Root().Writer, diagram.Mermaid(charts.MustLoad(name))); err != nil {
					return failed(eris.Wrap(err, "print chart"))
				}
			}
			return nil
		},
	}
}
