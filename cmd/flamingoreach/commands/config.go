package commands

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/core/configurationdiff"
	"flamingoreach/io/operator/operatorv1"
)

func configCommand() *cli.Command {
	last := &cli.Uint32Flag{Name: "last", Usage: "the `NUMBER` of versions, at most 200", Value: 20}
	version := &cli.Uint64Flag{Name: "version", Usage: "the `VERSION` to print, in place of the one in force"}
	return &cli.Command{
		Name:  "config",
		Usage: "read and change the fleet's configuration at any node",
		Flags: operatorFlags(),
		Commands: []*cli.Command{
			{Name: "show", Usage: "print the version in force at the node, or another one", Flags: []cli.Flag{version}, Action: showConfig},
			patchCommand(),
			{Name: "log", Usage: "list the last accepted versions with their patches", Flags: []cli.Flag{last}, Action: listVersions},
			{Name: "diff", Usage: "print what changed from version A to version B; 0 is the empty one", ArgsUsage: "A B", Action: diffConfig},
			{Name: "status", Usage: "ask every node which version it enforces", Action: configStatus},
			{Name: "out", Usage: "declare a data centre out, so that patches pass without it", ArgsUsage: "DATACENTRE", Action: declareOut},
		},
	}
}

func showConfig(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	res, err := client.ShowConfiguration(ctx, connect.NewRequest(&operatorv1.ShowConfigurationRequest{Version: cmd.Uint64("version")}))
	if err != nil {
		return callFailed("show configuration", err)
	}
	if cmd.Bool("json") {
		return writeJSON(cmd, struct {
			Version uint64 `json:"version"`
			PatchID string `json:"patchId"`
			Text    string `json:"text"`
		}{res.Msg.GetVersion(), res.Msg.GetPatchId(), string(res.Msg.GetText())})
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "# version %d, patch %s\n%s", res.Msg.GetVersion(), res.Msg.GetPatchId(), res.Msg.GetText())
	return eris.Wrap(err, "print configuration")
}

func listVersions(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	res, err := client.ListVersions(ctx, connect.NewRequest(&operatorv1.ListVersionsRequest{Last: cmd.Uint32("last")}))
	if err != nil {
		return callFailed("list versions", err)
	}
	return printAnswer(cmd, res.Msg, func() string {
		return table(func(row func(cells ...any)) {
			row("version", "patch", "accepted")
			for _, acc := range res.Msg.GetVersions() {
				at := "unknown"
				if acc.GetAccepted() != nil {
					at = acc.GetAccepted().AsTime().Format("2006-01-02T15:04:05Z")
				}
				row(acc.GetVersion(), acc.GetPatchId(), at)
			}
		})
	})
}

func diffConfig(ctx context.Context, cmd *cli.Command) error {
	old, oldErr := strconv.ParseUint(cmd.Args().Get(0), 10, 64)
	next, nextErr := strconv.ParseUint(cmd.Args().Get(1), 10, 64)
	if oldErr != nil || nextErr != nil || cmd.NArg() != 2 {
		return wrongUsage(eris.New("config diff: want two version numbers"))
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	res, err := client.CompareConfigurations(ctx, connect.NewRequest(&operatorv1.CompareConfigurationsRequest{OldVersion: old, NewVersion: next}))
	if err != nil {
		return callFailed("compare configurations", err)
	}
	return printAnswer(cmd, res.Msg, func() string { return differences(res.Msg.GetDifferences()) })
}

func differences(list []*operatorv1.Difference) string {
	var text strings.Builder
	for _, dif := range list {
		text.WriteString(configurationdiff.Diff{Field: dif.GetField(), Old: dif.GetOld(), New: dif.GetNew()}.String() + "\n")
	}
	return text.String()
}

func configStatus(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	res, err := client.FleetStatus(ctx, connect.NewRequest(&operatorv1.FleetStatusRequest{}))
	if err != nil {
		return callFailed("ask all nodes", err)
	}
	return printAnswer(cmd, res.Msg, func() string {
		return table(func(row func(cells ...any)) {
			row("node", "data centre", "service", "version", "prepared", "error")
			for _, nod := range res.Msg.GetNodes() {
				row(nod.GetMember().GetPeer(), nod.GetMember().GetDataCentre(), nod.GetMember().GetService(),
					nod.GetConfigurationVersion(), nod.GetPreparedVersion(), nod.GetError())
			}
		})
	})
}

func declareOut(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	if name == "" || cmd.NArg() != 1 {
		return wrongUsage(eris.New("config out: want the name of one data centre"))
	}
	client, err := operatorClient(cmd)
	if err != nil {
		return err
	}
	res, err := client.DeclareOut(ctx, connect.NewRequest(&operatorv1.DeclareOutRequest{DataCentre: name}))
	if err != nil {
		return callFailed("declare data centre out", err)
	}
	return printAnswer(cmd, res.Msg, func() string { return "declared out: " + name + "\n" })
}
