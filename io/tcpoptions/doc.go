// Package tcpoptions finds out silent TCP connections: those whose other end is gone without a word.
package tcpoptions
