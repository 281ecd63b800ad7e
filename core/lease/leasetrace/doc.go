// Package leasetrace records the inputs and effects of the lease of a data centre's leadership, and replays them.
package leasetrace
