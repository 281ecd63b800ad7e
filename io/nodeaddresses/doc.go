// Package nodeaddresses holds the bound addresses of a node's listeners.
package nodeaddresses
