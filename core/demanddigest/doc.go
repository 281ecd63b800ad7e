// Package demanddigest describes the message by which the leaders of data centres report their demand to each other.
//
// The digest is a summary, not a hash: for each client account, or for the one whose entry is sent early, it holds the
// demand and the available tokens in the sender's data centre. By it, leaders transfer allocations between data
// centres.
package demanddigest
