// Package demanddigest describes the message by which the leaders of data centres report their demand to each other.
package demanddigest
