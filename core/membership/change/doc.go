// Package change describes a change of a node's own backend server.
package change
