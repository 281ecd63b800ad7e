// Package memberlink connects the membership list with the other nodes and with the rows of the platform's table.
package memberlink
