package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/load"
	"flamingoreach/io/load/account"
	"flamingoreach/io/load/count"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/result"
	"flamingoreach/io/load/retrypolicy"
)

const (
	defaultLoadRate = 100
	tablePadding    = 2
)

// loadCommand returns the command that sends load to nodes on loopback addresses and prints the result.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send seeded load to nodes on this host and check every answer; exits with 1 if an answer or an execution must not be",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Usage: "TOML file with the whole plan, in place of the flags below"},
			&cli.BoolFlag{Name: "json", Usage: "write the result as JSON to standard output"},
			&cli.StringSliceFlag{Name: "target", Usage: "loopback IP and port of a node for callers; may be repeated"},
			&cli.StringSliceFlag{Name: "record", Usage: "loopback IP and port of a stand-in whose record is read at the end; may be repeated"},
			&cli.StringFlag{Name: "account", Value: "account", Usage: "name of the account in the result"},
			&cli.StringFlag{Name: "key", Sources: cli.EnvVars("FLAMINGOREACH_KEY"), Usage: "key of the account"},
			&cli.FloatFlag{Name: "rate", Value: defaultLoadRate, Usage: "requests per second"},
			&cli.FloatFlag{Name: "allowedRate", Usage: "requests per second that the fleet grants the account, to tell wrongful refusals"},
			&cli.FloatFlag{Name: "allowedBurst", Usage: "burst that the fleet grants the account"},
			&cli.StringFlag{Name: "method", Value: http.MethodGet, Usage: "HTTP method"},
			&cli.StringFlag{Name: "path", Value: "/", Usage: "path, which may carry a query"},
			&cli.IntFlag{Name: "bodyBytes", Usage: "length of each body"},
			&cli.BoolFlag{Name: "idempotent", Usage: "the request may run more than once"},
			&cli.BoolFlag{Name: "idempotencyKey", Usage: "send an idempotency key with each request"},
			&cli.IntFlag{Name: "requests", Value: plan.DefaultRequests, Usage: "bound of the requests"},
			&cli.DurationFlag{Name: "duration", Value: plan.DefaultDuration, Usage: "bound of the time in which requests start"},
			&cli.IntFlag{Name: "connections", Value: plan.DefaultConnections, Usage: "bound of the open connections"},
			&cli.DurationFlag{Name: "deadline", Value: plan.DefaultDeadline, Usage: "deadline of each request from its intended start"},
			&cli.BoolFlag{Name: "http2", Usage: "speak cleartext HTTP/2"},
			&cli.IntFlag{Name: "attempts", Value: 1, Usage: "bound of the attempts of a request"},
			&cli.DurationFlag{Name: "backoff", Value: plan.DefaultBackoff, Usage: "wait before the second attempt, doubled for each further one"},
			&cli.FloatFlag{Name: "jitter", Value: plan.DefaultJitter, Usage: "random part of the wait, from 0 to 1"},
			&cli.BoolFlag{Name: "hard", Usage: "repeat whatever the answer said"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals, mix and waits"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	pla, err := loadPlan(cmd)
	if err != nil {
		return wrongUsage(err)
	}
	gen, err := load.New(pla)
	if err != nil {
		return wrongUsage(err)
	}
	res, err := gen.Run(ctx)
	if err != nil {
		return failed(err)
	}
	if err := writeResult(cmd.Root().Writer, res, cmd.Bool("json")); err != nil {
		return failed(err)
	}
	if res.HasViolations() {
		return failed(eris.New("load: an answer or an execution must not be: see mismatched, reusedCallIds, duplicates and falseNotRun"))
	}
	return nil
}

func loadPlan(cmd *cli.Command) (plan.Plan, error) {
	if file := cmd.String("plan"); file != "" {
		return plan.Read(file)
	}
	targets, err := addresses(cmd.StringSlice("target"))
	if err != nil {
		return plan.Plan{}, eris.Wrap(err, "parse flag target")
	}
	records, err := addresses(cmd.StringSlice("record"))
	if err != nil {
		return plan.Plan{}, eris.Wrap(err, "parse flag record")
	}
	return plan.Plan{
		Seed: cmd.Uint64("seed"), Targets: targets, Records: records,
		Requests: cmd.Int("requests"), Duration: cmd.Duration("duration"), Connections: cmd.Int("connections"),
		Deadline: cmd.Duration("deadline"), HTTP2: cmd.Bool("http2"),
		Retry: retrypolicy.RetryPolicy{
			Attempts: cmd.Int("attempts"), Backoff: cmd.Duration("backoff"), Jitter: cmd.Float("jitter"), Unconditional: cmd.Bool("hard"),
		},
		Accounts: []account.Account{{
			Name: cmd.String("account"), Key: cmd.String("key"), Rate: cmd.Float("rate"),
			AllowedRate: cmd.Float("allowedRate"), AllowedBurst: cmd.Float("allowedBurst"),
		}},
		Kinds: []kind.Kind{{
			Name: cmd.String("path"), Method: cmd.String("method"), Path: cmd.String("path"), BodyBytes: cmd.Int("bodyBytes"),
			Idempotent: cmd.Bool("idempotent"), IdempotencyKey: cmd.Bool("idempotencyKey"), Weight: 1,
		}},
	}, nil
}

func addresses(texts []string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, text := range texts {
		address, err := loopbackAddress(text)
		if err != nil {
			return nil, err
		}
		list = append(list, address)
	}
	return list, nil
}

func writeResult(wri io.Writer, res result.Result, asJSON bool) error {
	if asJSON {
		return eris.Wrap(json.NewEncoder(wri).Encode(res), "print result")
	}
	tab := tabwriter.NewWriter(wri, 0, 0, tablePadding, ' ', 0)
	row := func(cells ...any) { _, _ = fmt.Fprintln(tab, joinCells(cells)) }
	row("group", "name", "offered", "whole", "refused", "failed", "served", "within", "wrongful")
	writeCounts(row, "total", map[string]count.Count{"": res.Total})
	writeCounts(row, "account", res.Accounts)
	writeCounts(row, "kind", res.Kinds)
	writeCounts(row, "priority", res.Priorities)
	row()
	row("attempts", res.Attempts, "goodput/s", fmt.Sprintf("%.1f", res.Goodput), "elapsed", res.Elapsed)
	row("latency", "p50", res.Latency.P50, "p90", res.Latency.P90, "p99", res.Latency.P99, "p99.9", res.Latency.P999, "max", res.Latency.Max)
	writeNumbers(row, "refusal", res.Refusals)
	writeNumbers(row, "outcome", res.Outcomes)
	writeNumbers(row, "error", res.Errors)
	row("mismatched", res.Mismatched, "reusedCallIds", res.ReusedCallIDs)
	row("duplicates", res.Duplicates, "falseNotRun", res.FalseNotRun, "recordsRead", res.RecordsRead, "recordsFailed", res.RecordsFailed)
	name, share := res.WorstServed()
	row("worstServed", name, fmt.Sprintf("%.3f", share))
	return eris.Wrap(tab.Flush(), "print result")
}

func writeCounts(row func(cells ...any), group string, counts map[string]count.Count) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		cou := counts[name]
		row(group, name, cou.Offered, cou.Complete, cou.Refused, cou.Failed, fmt.Sprintf("%.3f", cou.Served()), cou.WithinRate, cou.WrongfulRefusals)
	}
}

func writeNumbers(row func(cells ...any), group string, numbers map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(numbers)) {
		row(group, name, numbers[name])
	}
}

func joinCells(cells []any) string {
	line := ""
	for _, cell := range cells {
		line += fmt.Sprint(cell) + "\t"
	}
	return line
}
