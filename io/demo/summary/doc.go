// Package summary holds the measurements of the demonstration and the guarantees that it found violated.
package summary
