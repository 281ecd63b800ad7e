package member

import (
	"net/netip"
	"time"
)

// Member is one node's entry in the membership list.
type Member struct {
	// ID is unique for each start of a node.
	ID string `json:"id" cbor:"1,keyasint"`
	// Peer is the address at which the node listens for other nodes.
	Peer       netip.AddrPort `json:"peer" cbor:"2,keyasint"`
	Region     string         `json:"region" cbor:"3,keyasint"`
	DataCentre string         `json:"dataCentre" cbor:"4,keyasint"`
	Service    string         `json:"service" cbor:"5,keyasint"`
	// State is a state of the chart backendServer.
	State string `json:"state" cbor:"6,keyasint"`
	// Incarnation grows with each change that the node itself announces.
	Incarnation uint64 `json:"incarnation" cbor:"7,keyasint"`
	// Slots is the number of slots that the backend server has announced.
	Slots int `json:"slots" cbor:"8,keyasint,omitempty"`
	// Started is when the node started, by its own clock.
	Started time.Time `json:"started" cbor:"9,keyasint"`
}
