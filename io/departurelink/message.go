package departurelink

import (
	"net/netip"
	"time"

	"flamingoreach/core/departure"
)

// departureMessage is a departure.Departure as it is sent. Its times are those of the clock of its host, which is the only
// one that compares them.
type departureMessage struct {
	Host         netip.AddrPort `json:"host" cbor:"1,keyasint"`
	ServerID     string         `json:"serverId" cbor:"2,keyasint"`
	Started      time.Time      `json:"started" cbor:"3,keyasint"`
	Sequence     uint64         `json:"sequence" cbor:"4,keyasint"`
	Deregistered bool           `json:"deregistered,omitempty" cbor:"5,keyasint,omitempty"`
	At           time.Time      `json:"at" cbor:"6,keyasint"`
}

// departureQuestion asks for the latest departure of a host.
type departureQuestion struct {
	Host netip.AddrPort `json:"host" cbor:"1,keyasint"`
}

// departureReply answers a departureQuestion.
type departureReply struct {
	// Departure is nil if none is known.
	Departure *departureMessage `json:"departure,omitempty" cbor:"1,keyasint,omitempty"`
	// RecordedFor is the time for which the node has recorded departures.
	RecordedFor time.Duration `json:"recordedFor" cbor:"2,keyasint"`
}

func encodeDeparture(dep departure.Departure) departureMessage {
	return departureMessage(dep)
}

func decodeDeparture(msg departureMessage) departure.Departure {
	return departure.Departure(msg)
}
