// Package fence tells traffic whether its node may still serve keyed calls.
//
// The control thread writes the times of contact, and traffic compares them with the clock on each call. So a process
// that was stopped refuses its first call after it continues. Traffic must load the directory before it checks the
// fence: in the other order, a pause between the two would let a call through on an old directory.
package fence
