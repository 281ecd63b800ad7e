// Package command is the command line of the node on the users' platform.
package command
