// Package configurationtrace records the inputs and effects of a node's configuration, and replays them.
package configurationtrace
