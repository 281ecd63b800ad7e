// Package localservertrace records the inputs and effects of module localserver, and replays them.
package localservertrace
