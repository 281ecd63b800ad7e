// Package http1 keeps HTTP/1.1 connections to one address and makes one exchange of whole messages at a time on each.
//
// An exchange runs on its caller's goroutine. It tells apart what the standard client does not: whether any byte of a
// request was written, answers that belong to an earlier request on the connection, and bytes that belong to none.
package http1
