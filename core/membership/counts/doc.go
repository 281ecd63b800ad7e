// Package counts holds the counters of a membership list.
package counts
