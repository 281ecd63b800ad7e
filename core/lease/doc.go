// Package lease is the control-state module that decides which node leads a data centre.
//
// The row "leader/DATACENTRE" in the platform's table names the holder of the lease, which is the leader, and its
// epoch, the number of its leadership. The holder counts its lease from the sending of its last successful renewal, a
// challenger from the time at which it first read the row, so the holder's lease ends first. A holder that cannot renew
// goes on leading only while a majority of the members answers it; a member that knows of a higher epoch never again
// answers the leader of a lower one.
package lease
