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

// joinContact answers the messages by which nodes keep in contact with this node as their leader.
func (nod *Node) joinContact() {
	peer.Handle(nod.peerServer, sendContact, func(ctx context.Context, con contact.Contact) (contactreply.ContactReply, error) {
		return dispatcher.OnControl(ctx, nod.dispatcher, "contact.received", con, func() contactreply.ContactReply { return nod.handleContact(con) })
	})
}

func (nod *Node) handleContact(con contact.Contact) contactreply.ContactReply {
	var reply contactreply.ContactReply
	hea, req := con.Parts()
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

// sendHeartbeat has the share request that is due soon carry the heartbeat, or sends it alone.
func (nod *Node) sendHeartbeat(hea heartbeat.Heartbeat) {
	address := nod.leaderAddress(nod.self.DataCentre)
	if address == nod.self.Peer {
		nod.heartbeats.HandleReply(nod.configurationLeader.ReceiveHeartbeat(hea))
		return
	}
	nod.carried = &hea
	nod.share.SendEarly()
	if nod.carried != nil {
		nod.carried = nil
		nod.startContact(address, &hea, nil)
	}
}

func (nod *Node) sendShareRequest(address netip.AddrPort, req sharerequest.ShareRequest) {
	if address == nod.self.Peer {
		nod.control.Offer(dispatcher.Event("share.askedSelf", nil, func() {
			if rep, ok := nod.handleShareRequest(req); ok {
				nod.takeShareReply(rep)
			} else {
				nod.share.HandleFailure(req.Sequence)
			}
		}))
		return
	}
	var hea *heartbeat.Heartbeat
	if address == nod.leaderAddress(nod.self.DataCentre) {
		hea, nod.carried = nod.carried, nil
	}
	nod.startContact(address, hea, &req)
}

func (nod *Node) startContact(address netip.AddrPort, hea *heartbeat.Heartbeat, req *sharerequest.ShareRequest) {
	con := contact.New(uuid.MustParse(nod.id), hea, req)
	dispatcher.Start(nod.dispatcher, "contact.reply", askTimeout, func(ctx context.Context) (contactreply.ContactReply, error) {
		return peer.Ask[contact.Contact, contactreply.ContactReply](ctx, nod.peerClient, address, sendContact, con)
	}, func(reply contactreply.ContactReply, err error) {
		if err == nil && reply.Heartbeat != nil {
			nod.heartbeats.HandleReply(*reply.Heartbeat)
		}
		switch {
		case req == nil:
		case reply.Share == nil:
			nod.share.HandleFailure(req.Sequence)
		default:
			nod.takeShareReply(*reply.Share)
		}
	})
}

func (nod *Node) takeShareReply(rep sharereply.ShareReply) {
	if rep.Epoch == nod.share.Epoch() {
		nod.lease.LeaderAnswered(rep.Epoch)
	}
	nod.share.HandleReply(rep)
}
