// Package nodeledger describes a node's ledger, as a leader hands it over to the next one.
package nodeledger
