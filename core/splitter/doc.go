// Package splitter divides the calls of a route among its parts in proportion to their weights.
package splitter
