// Package tokenledger describes a node's tokens of one client account, as a leader hands them over to the next one.
package tokenledger
