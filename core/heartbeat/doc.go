// Package heartbeat describes the message by which a node or leader asks for a contact lease.
package heartbeat
