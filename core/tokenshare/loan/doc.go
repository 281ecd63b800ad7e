// Package loan describes tokens of an account that one node requests from another one or lends to it.
package loan
