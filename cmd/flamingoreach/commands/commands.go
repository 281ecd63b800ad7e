package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the command line and returns its exit code. SIGINT and SIGTERM cancel the command.
func Main(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := newApp(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "flamingoreach:", err)
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return exitUsage
}

func newApp(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "flamingoreach",
		Usage:          "overload control for service call graphs",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			nodeCommand(),
			configCommand(),
			statusCommand(),
			settingsCommand(),
			keyCommand(),
			certificatesCommand(),
			chartsCommand(),
			demoCommand(),
			loadCommand(),
			standinCommand(),
		},
	}
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an outside system",
		Commands: []*cli.Command{
			standinPlatformCommand(),
			standinBackendServerCommand(),
		},
	}
}
