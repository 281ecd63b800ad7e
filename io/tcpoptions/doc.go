// Package tcpoptions sets TCP options that end connections whose other end has stopped responding.
package tcpoptions
