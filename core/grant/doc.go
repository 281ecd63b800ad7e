// Package grant is the control-state module by which the leader of a data centre grants tokens to nodes.
//
// A token admits one call of a client account. An account's tokens accrue in its bucket, and nodes spend those that the
// leader grants them. The leader keeps one ledger for each node: counts of the tokens that the node has accepted, spent
// and returned, under a number. A node that has been silent until its tokens expired gets a ledger with a new number.
package grant
