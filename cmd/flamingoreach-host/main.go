// Flamingoreach-host is the node on the users' platform: it runs beside one backend server.
package main

import (
	"os"

	"flamingoreach/cmd/flamingoreach-host/command"
)

func main() { os.Exit(command.Main(os.Args)) }
