// Package memberlink connects a node's membership list with the other nodes and with the rows of the platform's table.
package memberlink
