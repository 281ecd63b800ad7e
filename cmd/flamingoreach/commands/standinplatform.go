package commands

import (
	"context"
	"encoding/json"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"flamingoreach/io/standinplatform"
)

const defaultStandinAddress = "127.0.0.1:0"

// standinAddresses is the JSON line that the command prints when the stand-in accepts requests.
type standinAddresses struct {
	Table   netip.AddrPort `json:"table"`
	Object  netip.AddrPort `json:"object"`
	Control netip.AddrPort `json:"control"`
}

// standinPlatformCommand returns the command that runs the stand-in for the platform until a signal arrives.
func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a table service and an object store in memory, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "table", Value: defaultStandinAddress, Usage: "IP and port of the table service"},
			&cli.StringFlag{Name: "objects", Value: defaultStandinAddress, Usage: "IP and port of the object store"},
			&cli.StringFlag{Name: "control", Value: defaultStandinAddress, Usage: "IP and port of the control endpoint"},
		},
		Action: runStandinPlatform,
	}
}

func runStandinPlatform(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var addresses [3]netip.AddrPort
	for i, flag := range []string{"table", "objects", "control"} {
		address, err := netip.ParseAddrPort(cmd.String(flag))
		if err != nil {
			return eris.Wrapf(err, "parse flag %s", flag)
		}
		addresses[i] = address
	}
	pla, err := standinplatform.New(addresses[0], addresses[1], addresses[2])
	if err != nil {
		return err
	}
	line := standinAddresses{Table: pla.TableAddress(), Object: pla.ObjectAddress(), Control: pla.ControlAddress()}
	if err := json.NewEncoder(cmd.Root().Writer).Encode(line); err != nil {
		_ = pla.Close()
		return eris.Wrap(err, "print addresses")
	}
	<-ctx.Done()
	return pla.Close()
}
