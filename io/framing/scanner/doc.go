// Package scanner finds the boundaries of HTTP/1.1 requests in the bytes of a connection as net/http finds them, and the
// first request whose end is ambiguous.
package scanner
