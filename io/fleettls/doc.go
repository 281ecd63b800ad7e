// Package fleettls authenticates nodes to each other by certificates of the fleet's own authority.
package fleettls
