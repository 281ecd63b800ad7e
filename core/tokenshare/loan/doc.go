// Package loan describes tokens of an account that one node asks of another one, or lends it.
package loan
