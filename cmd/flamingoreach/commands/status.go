package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"flamingoreach/io/operator/operatorv1"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print members, leaders, overload, shares and refusals as one node knows them",
		Flags:  operatorFlags(),
		Action: printStatus,
	}
}

func printStatus(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	own, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		return callFailed("ask for status", err)
	}
	fleet, err := client.FleetStatus(ctx, connect.NewRequest(&operatorv1.FleetStatusRequest{}))
	if err != nil {
		return callFailed("ask all nodes", err)
	}
	if cmd.Bool("json") {
		return writeStatus(cmd, own.Msg, fleet.Msg)
	}
	_, err = fmt.Fprint(cmd.Root().Writer, statusText(own.Msg, fleet.Msg))
	return err
}

func writeStatus(cmd *cli.Command, own *operatorv1.StatusResponse, fleet *operatorv1.FleetStatusResponse) error {
	node, err := protojson.Marshal(own)
	if err != nil {
		return failed(eris.Wrap(err, "encode status"))
	}
	all, err := protojson.Marshal(fleet)
	if err != nil {
		return failed(eris.Wrap(err, "encode status"))
	}
	return writeJSON(cmd, map[string]json.RawMessage{"node": node, "fleet": all})
}

func statusText(own *operatorv1.StatusResponse, fleet *operatorv1.FleetStatusResponse) string {
	leaders := map[string]bool{}
	for _, lead := range own.GetLeaders() {
		leaders[lead.GetPeer()] = true
	}
	members := table(func(row func(cells ...any)) {
		row("member", "region", "data centre", "service", "state", "leads", "version", "gate", "running", "waiting", "limit", "level", "error")
		for _, nod := range fleet.GetNodes() {
			mem, gat := nod.GetMember(), nod.GetGate()
			leads := ""
			if leaders[mem.GetPeer()] {
				leads = "yes"
			}
			row(mem.GetPeer(), mem.GetRegion(), mem.GetDataCentre(), mem.GetService(), mem.GetState(), leads, nod.GetConfigurationVersion(),
				gat.GetState(), gat.GetRunning(), gat.GetWaiting(), gat.GetLimit(), gat.GetAdmissionLevel(), nod.GetError())
		}
	})
	shares := table(func(row func(cells ...any)) {
		row("client account", "tokens here", "calls waiting")
		for _, sha := range own.GetShares() {
			row(sha.GetClientAccount(), sha.GetTokens(), sha.GetWaiting())
		}
	})
	counts := table(func(row func(cells ...any)) {
		row("counter of this node", "value")
		for _, name := range slices.Sorted(maps.Keys(own.GetCounts())) {
			row(name, own.GetCounts()[name])
		}
	})
	return fmt.Sprintf("node %s, version %d\n\n", own.GetId(), own.GetConfigurationVersion()) + members + "\n" + shares + "\n" + counts
}

// table returns rows as text with aligned columns; fill calls row once for each of them.
func table(fill func(row func(cells ...any))) string {
	var text strings.Builder
	tab := tabwriter.NewWriter(&text, 0, 0, tablePadding, ' ', 0)
	fill(func(cells ...any) { _, _ = fmt.Fprintln(tab, joinCells(cells)) })
	_ = tab.Flush()
	return text.String()
}
