// Package nodelife runs the state chart of a node's life cycle.
package nodelife
