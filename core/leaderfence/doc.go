// Package leaderfence describes the condition of a transaction that the leader of a data centre has not changed.
package leaderfence
