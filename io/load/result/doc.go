// Package result holds the measurements of a run of the load generator.
package result
