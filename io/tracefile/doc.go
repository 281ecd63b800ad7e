// Package tracefile reads and writes traces as files in the format JSON Lines.
package tracefile
