// Package layerlogs holds a logger for each layer of a node, so that each layer has its own log level.
package layerlogs
