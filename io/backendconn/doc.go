// Package backendconn keeps HTTP/1.1 connections to one backend server and makes one exchange at a time on each.
//
// It tells apart what the standard client does not: whether any byte of a request was written, answers that belong to
// an earlier request on the connection, and bytes that belong to none.
package backendconn
