// Package crashlink shares a gate's crash records with the other nodes of its service, and keeps them in a table of the
// platform.
package crashlink
