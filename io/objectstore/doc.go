// Package objectstore is the client of the platform's object store, over the S3 REST protocol.
package objectstore
