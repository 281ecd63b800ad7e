// Package memberlink connects a node's membership list with the other nodes and with the members' rows, which the
// platform keeps in a table: that of the table service (io/node) or one of the store (io/hostnode).
package memberlink
