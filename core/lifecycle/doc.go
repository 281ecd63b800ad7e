// Package lifecycle runs the state chart of a node's life cycle.
package lifecycle
