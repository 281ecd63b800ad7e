package contact

import (
	"github.com/google/uuid"

	"flamingoreach/core/heartbeat"
	"flamingoreach/core/sharerequest"
)

// Contact carries a heartbeat, a share request, or both. The sender is named once in Node, and left out of both
// messages.
type Contact struct {
	Node      uuid.UUID                  `json:"node" cbor:"1,keyasint"`
	Heartbeat *heartbeat.Heartbeat       `json:"heartbeat,omitempty" cbor:"2,keyasint,omitempty"`
	Share     *sharerequest.ShareRequest `json:"share,omitempty" cbor:"3,keyasint,omitempty"`
}

// New returns a contact of the node. Either message may be nil; the arguments are not modified.
func New(node uuid.UUID, hea *heartbeat.Heartbeat, req *sharerequest.ShareRequest) Contact {
	con := Contact{Node: node}
	if hea != nil {
		short := *hea
		short.From = ""
		con.Heartbeat = &short
	}
	if req != nil {
		short := *req
		short.Node = ""
		con.Share = &short
	}
	return con
}

// Messages returns copies of both messages with the sender's ID restored; an absent message is nil.
func (con Contact) Messages() (*heartbeat.Heartbeat, *sharerequest.ShareRequest) {
	full := New(con.Node, con.Heartbeat, con.Share)
	if full.Heartbeat != nil {
		full.Heartbeat.From = con.Node.String()
	}
	if full.Share != nil {
		full.Share.Node = con.Node.String()
	}
	return full.Heartbeat, full.Share
}
