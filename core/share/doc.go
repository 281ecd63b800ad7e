// Package share is the control-state module by which a node asks the leader of its data centre for tokens.
//
// The tokens that the leader has granted to a node are the node's share of the client accounts' rates. They are leased:
// the node may spend them until they expire, and each reply of the leader renews them.
package share
