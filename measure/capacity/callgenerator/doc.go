// Package callgenerator sends calls of many client accounts at a constant rate to nodes on this host.
package callgenerator
