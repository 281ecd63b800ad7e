// Package boundedwriter writes lines on a goroutine of its own, so that whoever logs never waits for the output.
package boundedwriter
