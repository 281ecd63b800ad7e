// Package tally aggregates the reports of requests; it belongs to the control thread and needs no locks.
package tally
