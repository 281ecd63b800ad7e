// Package splitter divides the calls of a route among its destinations in proportion to their weights.
package splitter
