// Package commands holds the subcommands of flamingoreach.
package commands
