// Flamingoreach is an overload control layer for service call graphs.
package main

import (
	"os"

	"flamingoreach/cmd/flamingoreach/commands"
)

func main() { os.Exit(commands.Main(os.Args)) }
