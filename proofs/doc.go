// Package proofs replays recorded traces of nodes against the modules that they were recorded from. A trace holds the
// inputs and the effects of a node's control-state modules.
package proofs
