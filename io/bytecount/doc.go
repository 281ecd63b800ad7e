// Package bytecount counts the bytes that are sent and received on connections.
package bytecount
