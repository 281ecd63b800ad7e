// Package leader describes the row that names the leader of a data centre.
package leader
