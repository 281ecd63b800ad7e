// Package traceline describes one line of a recorded trace.
package traceline
