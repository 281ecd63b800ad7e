// Package departures keeps the departures of backend servers that other nodes have announced to this one.
package departures
