// Package departurelink tells other nodes of the departure of this node's backend server, and asks them for it after a
// restart of this node.
package departurelink
