package commands

import "github.com/urfave/cli/v3"

// The exit codes of all commands.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitRefused
)

// failed returns the error of a command that could not do its work.
func failed(err error) error { return cli.Exit(err.Error(), exitFailed) }

// wrongUsage returns the error of a command whose arguments or settings cannot be used.
func wrongUsage(err error) error { return cli.Exit(err.Error(), exitUsage) }

// refused returns the error of a command whose request a node refused, as opposed to a failed call or an unknown result.
func refused(err error) error { return cli.Exit(err.Error(), exitRefused) }
