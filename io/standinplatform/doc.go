// Package standinplatform replaces the platform in tests: it serves a table service and an object store from memory,
// with faults that can be set at run time.
//
// It implements the part of the DynamoDB and S3 protocols that flamingoreach uses, checks no signatures, and loses its
// contents when it stops.
package standinplatform
