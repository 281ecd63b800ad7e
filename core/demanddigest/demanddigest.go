package demanddigest

import (
	"time"

	"flamingoreach/core/demandentry"
)

// DemandDigest reports the demand in the sender's data centre to the leader of another one.
type DemandDigest struct {
	DataCentre string `json:"dataCentre" cbor:"1,keyasint"`
	Epoch      uint64 `json:"epoch" cbor:"2,keyasint"`
	// Sent is the sender's time since its leadership began.
	Sent time.Duration `json:"sent" cbor:"3,keyasint"`
	// LastReceived holds, by data centre, the Sent of the last digest that the sender received from it, as a confirmation.
	LastReceived map[string]time.Duration  `json:"heard,omitempty" cbor:"4,keyasint,omitempty"`
	Entries      []demandentry.DemandEntry `json:"entries,omitempty" cbor:"5,keyasint,omitempty"`
}

// For returns the digest to send to one data centre, with only the confirmation for that one.
func (dig DemandDigest) For(dataCentre string) DemandDigest {
	at, received := dig.LastReceived[dataCentre]
	dig.LastReceived = nil
	if received {
		dig.LastReceived = map[string]time.Duration{dataCentre: at}
	}
	return dig
}
