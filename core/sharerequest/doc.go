// Package sharerequest describes a node's message to the leader of its data centre.
package sharerequest
