// Package fence tells the goroutines that handle calls whether the node may still serve keyed calls: those that are
// authenticated with the key of a client account, and their deeper calls.
//
// The control thread writes the times of contact, and each call compares them with the clock. So a process that was
// stopped refuses its first call after it continues. A call must load the directory before it checks the fence: in the
// other order, a pause between the two would let it through on an old directory.
package fence
