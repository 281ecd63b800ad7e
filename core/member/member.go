package member

import (
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
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
	// ColdRate is the number of calls per second that the backend server can handle while it is cold, and 0 if it is not
	// cold or its calls are not paced.
	ColdRate float64 `json:"coldRate,omitempty" cbor:"10,keyasint,omitempty"`
}

const (
	// maxIDBytes is longer than any ID that a node takes.
	maxIDBytes = 200
	// MaxSlots bounds the slots of a backend server: each running call has a connection with a port of its own.
	MaxSlots = 1<<16 - 1
	// maxIncarnation cannot be reached by counting changes.
	maxIncarnation = 1 << 48
)

// Validate returns an error if no node can have announced the entry.
func (mem Member) Validate() error {
	switch {
	case mem.ID == "" || len(mem.ID) > maxIDBytes:
		return eris.Errorf("member: the ID has %d bytes", len(mem.ID))
	case !mem.Peer.IsValid() || mem.Peer.Port() == 0 || mem.Peer.Addr().IsUnspecified() || mem.Peer.Addr().IsMulticast():
		return eris.Errorf("member: no node listens at %q", mem.Peer)
	case mem.DataCentre == "":
		return eris.New("member: the data centre is missing")
	case mem.Slots < 0 || mem.Slots > MaxSlots:
		return eris.Errorf("member: %d slots", mem.Slots)
	case mem.ColdRate < 0 || math.IsInf(mem.ColdRate, 0) || math.IsNaN(mem.ColdRate):
		return eris.Errorf("member: cold rate %g", mem.ColdRate)
	case mem.Incarnation > maxIncarnation:
		return eris.Errorf("member: incarnation %d", mem.Incarnation)
	}
	return nil
}
