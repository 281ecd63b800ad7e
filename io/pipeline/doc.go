// Package pipeline runs pipelined HTTP/1.1 requests at the same time: those that a caller has sent on one connection before
// the ones before them were answered. net/http remains the server and sends the answers in order; it finds the answers of
// requests that were run ahead of their turn ready, or waits for them.
package pipeline
