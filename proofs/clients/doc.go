// Package clients holds tests that run nodes as processes on loopback beside clients that send or read too slowly, too much
// or nothing.
package clients
