// Package envelope adds the leader of the sender's data centre to each control message.
package envelope
