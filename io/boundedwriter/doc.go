// Package boundedwriter writes log lines on a separate goroutine, so that logging never waits for the output.
package boundedwriter
