package contactreply

import (
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/sharereply"
)

// ContactReply answers the parts of a contact message. Share is also nil if the receiver grants no shares.
type ContactReply struct {
	Heartbeat *heartbeatreply.HeartbeatReply `json:"heartbeat,omitempty" cbor:"1,keyasint,omitempty"`
	Share     *sharereply.ShareReply         `json:"share,omitempty" cbor:"2,keyasint,omitempty"`
}
