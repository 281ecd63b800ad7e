// Package peer carries calls and control messages between nodes over the Connect RPC protocol.
package peer
