// Package ack describes the acknowledgement of a liveness probe.
package ack
