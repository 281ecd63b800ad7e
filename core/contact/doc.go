// Package contact describes the message by which a node renews its contact lease and its tokens at the leader of its
// data centre.
package contact
