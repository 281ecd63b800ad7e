// Package gcpacer sets how often the Go runtime collects garbage, by the processor time that the process uses.
package gcpacer
