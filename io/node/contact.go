package node

import (
	"context"
	"net/netip"

	"github.com/google/uuid"

	"flamingoreach/core/contact"
	"flamingoreach/core/contactreply"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/sharereply"
	"flamingoreach/core/sharerequest"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const sendContact = "SendContact"

// setUpContact registers the handler of the contact messages that other nodes send to this node as their leader.
func (nod *Node) setUpContact() {
	peer.Handle(nod.peerServer, sendContact, func(ctx context.Context, con contact.Contact) (contactreply.ContactReply, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "contact.received", con, func() contactreply.ContactReply { return nod.handleContact(con) })
	})
}

func (nod *Node) handleContact(con contact.Contact) contactreply.ContactReply {
	var reply contactreply.ContactReply
	hea, req := con.Messages()
	if hea != nil {
		rep := nod.configurationLeader.ReceiveHeartbeat(*hea)
		reply.Heartbeat = &rep
	}
	if req != nil {
		if rep, ok := nod.handleShareRequest(*req); ok {
			reply.Share = &rep
		}
	}
	return reply
}

// sendHeartbeat sends a heartbeat to the leader. It saves a message by sending the next share request early with the
// heartbeat in it; if no share request can be sent now, the heartbeat goes alone.
func (nod *Node) sendHeartbeat(hea heartbeat.Heartbeat) {
	address := nod.leaderAddress(nod.self.DataCentre)
	if address == nod.self.Peer {
		nod.configurationNode.HandleReply(nod.configurationLeader.ReceiveHeartbeat(hea))
		return
	}
	nod.pendingHeartbeat = &hea
	nod.share.SendEarly()
	if nod.pendingHeartbeat != nil {
		nod.pendingHeartbeat = nil
		nod.startContact(address, &hea, nil)
	}
}

func (nod *Node) sendShareRequest(address netip.AddrPort, req sharerequest.ShareRequest) {
	if address == nod.self.Peer {
		nod.control.Offer(dispatcher.Event("share.askedSelf", nil, func() {
			if rep, ok := nod.handleShareRequest(req); ok {
				nod.handleShareReply(rep)
			} else {
				nod.share.HandleFailure(req.Sequence)
			}
		}))
		return
	}
	var hea *heartbeat.Heartbeat
	if address == nod.leaderAddress(nod.self.DataCentre) {
		hea, nod.pendingHeartbeat = nod.pendingHeartbeat, nil
	}
	nod.startContact(address, hea, &req)
}

func (nod *Node) startContact(address netip.AddrPort, hea *heartbeat.Heartbeat, req *sharerequest.ShareRequest) {
	con := contact.New(uuid.MustParse(nod.id), hea, req)
	dispatcher.Start(nod.dispatcher, "contact.reply", askTimeout, func(ctx context.Context) (contactreply.ContactReply, error) {
		return peer.Ask[contact.Contact, contactreply.ContactReply](ctx, nod.peerClient, address, sendContact, con)
	}, func(reply contactreply.ContactReply, err error) {
		if err == nil && reply.Heartbeat != nil {
			nod.configurationNode.HandleReply(*reply.Heartbeat)
		}
		switch {
		case req == nil:
		case reply.Share == nil:
			nod.share.HandleFailure(req.Sequence)
		default:
			nod.handleShareReply(*reply.Share)
		}
	})
}

func (nod *Node) handleShareReply(rep sharereply.ShareReply) {
	if rep.Epoch == nod.share.Epoch() {
		nod.lease.LeaderAnswered(rep.Epoch)
	}
	nod.share.HandleReply(rep)
}
