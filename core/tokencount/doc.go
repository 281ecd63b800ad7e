// Package tokencount describes a node's tokens of one client account at one moment.
package tokencount
