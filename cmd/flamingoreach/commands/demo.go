package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/demo"
	"flamingoreach/io/demo/summary"
	"flamingoreach/io/demo/timeline"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a fleet, its callers and some faults in this process for less than 30 s; exits with 1 if a promise was broken",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "write the summary as JSON to standard output, and the events to standard error"},
			&cli.BoolFlag{Name: "logs", Usage: "write the logs of the nodes to standard error"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	events, logs := cmd.Root().Writer, io.Discard
	if cmd.Bool("json") {
		events = cmd.Root().ErrWriter
	}
	if cmd.Bool("logs") {
		logs = cmd.Root().ErrWriter
	}
	dem := demo.New(func(elapsed time.Duration, text string) {
		_, _ = fmt.Fprintf(events, "%5.1fs  %s\n", elapsed.Seconds(), text)
	}, newLogger(logs, log.InfoLevel))
	sum, err := dem.Run(ctx)
	if err != nil {
		return failed(err)
	}
	if err := writeSummary(cmd.Root().Writer, sum, cmd.Bool("json")); err != nil {
		return failed(err)
	}
	if len(sum.Violations) > 0 {
		return failed(eris.New("demo: broken: " + strings.Join(sum.Violations, "; ")))
	}
	return nil
}

func writeSummary(wri io.Writer, sum summary.Summary, asJSON bool) error {
	if asJSON {
		return eris.Wrap(json.NewEncoder(wri).Encode(sum), "print summary")
	}
	tab := tabwriter.NewWriter(wri, 0, 0, tablePadding, ' ', 0)
	row := func(cells ...any) { _, _ = fmt.Fprintln(tab, joinCells(cells)) }
	_, _ = fmt.Fprintln(tab)
	row("goodput of whole requests", fmt.Sprintf("%.1f/s, %d of %d offered", sum.Goodput, sum.Load.Total.Complete, sum.Load.Total.Offered))
	recovery := "not recovered"
	if sum.Recovered {
		recovery = "within " + max(sum.Recovery, timeline.BinLength).String()
	}
	row("recovery after the surge", recovery)
	row("worst-served account", fmt.Sprintf("%s, %.1f%% of what its rate covers", sum.WorstServed, sum.WorstServedFraction*100))
	row("refused within the rate", describeRefusals(sum))
	row("withdrawn key worked for", sum.WithdrawnKeyUse)
	row("promises broken", len(sum.Violations))
	return eris.Wrap(tab.Flush(), "print summary")
}

// describeRefusals lists the refusals of requests within the rate by reason, which distinguishes an overloaded gate from a shortage of tokens.
func describeRefusals(sum summary.Summary) string {
	total := 0
	var texts []string
	for _, reason := range slices.Sorted(maps.Keys(sum.WrongfulRefusals)) {
		total += sum.WrongfulRefusals[reason]
		texts = append(texts, fmt.Sprintf("%d %s", sum.WrongfulRefusals[reason], reason))
	}
	if total == 0 {
		return fmt.Sprintf("none of %d", sum.WithinRate)
	}
	return fmt.Sprintf("%d of %d: %s", total, sum.WithinRate, strings.Join(texts, ", "))
}
