// Package deepercalls follows how many calls of work that runs elsewhere a gate runs at a time, to keep slots for them.
package deepercalls
