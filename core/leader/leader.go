package leader

import "net/netip"

// Leader is the value of the row "leader/DATACENTRE".
type Leader struct {
	// Holder is the member ID of the leader.
	Holder string `json:"holder" cbor:"1,keyasint"`
	// Epoch grows with each new leadership, also if the same node leads again.
	Epoch   uint64         `json:"epoch" cbor:"2,keyasint"`
	Address netip.AddrPort `json:"address" cbor:"3,keyasint"`
	// Renewals is different in each write by one holder, so that the holder can recognise its own write in the row.
	Renewals uint64 `json:"renewals" cbor:"4,keyasint"`
}
