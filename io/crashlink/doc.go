// Package crashlink tells the nodes of a service which calls ran when a backend server died.
package crashlink
