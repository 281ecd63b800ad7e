// Package caller serves calls over HTTP: those of callers, and deeper calls that a backend server makes through its
// node.
package caller
