// Package demanddigest describes the message by which the leaders of data centres tell each other of their demand.
package demanddigest
