// Package tasks runs blocking tasks of the control thread on a bounded number of other goroutines.
package tasks
