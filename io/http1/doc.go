// Package http1 pools HTTP/1.1 connections to one address. Each connection carries one request and its answer at a time.
//
// An exchange runs on its caller's goroutine. It detects what the standard client does not: whether any byte of a
// request was written, answers to an earlier request on the connection, and bytes that belong to no request.
package http1
