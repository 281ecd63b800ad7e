// Package configurationleader is the part of a data centre's leader that grants contact leases and prepares patches.
//
// It runs on the control thread. A lease is granted only to a sender that enforces every version and every pending
// patch that the leader knows. So one lease time after the leader learns of a patch, only nodes that enforce the patch
// can still serve. Leaders in the store's region do the same for the other data centres, with leases of length cutHold.
package configurationleader
