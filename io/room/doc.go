// Package room accounts for the memory that a node holds for its clients: the bodies of their requests and the answers to
// them, until the last byte was passed on.
package room
