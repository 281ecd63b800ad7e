// Package heartbeatreply describes a leader's answer to a heartbeat, which may renew the sender's contact lease.
package heartbeatreply
