// Package tcpoptions sets TCP options that close connections whose peer has stopped responding.
package tcpoptions
