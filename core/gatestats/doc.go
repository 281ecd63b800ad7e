// Package gatestats holds the statistics that a gate reports.
package gatestats
