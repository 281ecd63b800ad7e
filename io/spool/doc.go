// Package spool passes a body from the goroutine that reads it to one that writes it to a slower client, and holds in
// between what there is room for.
package spool
