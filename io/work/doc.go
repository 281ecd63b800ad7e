// Package work connects blocking requests and other goroutines with the control thread.
package work
