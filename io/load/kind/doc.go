// Package kind describes one kind of request in the mix that the load generator sends.
package kind
