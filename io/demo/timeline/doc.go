// Package timeline aggregates the observed requests of the demonstration over time.
package timeline
