// Package event describes one input of the control thread.
package event
