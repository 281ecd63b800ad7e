// Package room bounds the memory that bodies of messages take together while they are read.
package room
