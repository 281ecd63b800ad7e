package operator

import (
	"context"
	"maps"
	"slices"

	"connectrpc.com/connect"

	"flamingoreach/core/gatestats"
	"flamingoreach/core/member"
	"flamingoreach/io/operator/operatorv1"
)

// Status returns the state of this node, and what it knows of members, leaders and shares.
func (ser *Server) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	vie := ser.View()
	res := &operatorv1.StatusResponse{Id: vie.Self.ID, Counts: ser.Counts(), Gate: encodeGate(ser.Gate())}
	if vie.Configuration != nil {
		res.ConfigurationVersion = vie.Configuration.Version
	}
	for _, mem := range vie.Members {
		res.Members = append(res.Members, encodeMember(mem))
	}
	leaders := ser.Leaders()
	for _, name := range slices.Sorted(maps.Keys(leaders)) {
		lead := leaders[name]
		res.Leaders = append(res.Leaders, &operatorv1.LeaderStatus{DataCentre: name, Id: lead.Holder, Peer: lead.Address.String(), Epoch: lead.Epoch})
	}
	shares := ser.Shares()
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		res.Shares = append(res.Shares, &operatorv1.ShareStatus{ClientAccount: name, Tokens: shares[name].Tokens, Waiting: shares[name].Waiting})
	}
	return connect.NewResponse(res), nil
}

// FleetStatus asks every member that this node knows for its state and returns the reports.
func (ser *Server) FleetStatus(ctx context.Context, _ *connect.Request[operatorv1.FleetStatusRequest]) (*connect.Response[operatorv1.FleetStatusResponse], error) {
	res := &operatorv1.FleetStatusResponse{}
	for _, rep := range ser.Reports(ctx) {
		res.Nodes = append(res.Nodes, &operatorv1.NodeStatus{
			Member: encodeMember(rep.Member), ConfigurationVersion: rep.Version, PreparedVersion: rep.Prepared,
			Gate: encodeGate(rep.Gate), Error: rep.Error,
		})
	}
	return connect.NewResponse(res), nil
}

func encodeMember(mem member.Member) *operatorv1.MemberStatus {
	return &operatorv1.MemberStatus{
		Id: mem.ID, Peer: mem.Peer.String(), Region: mem.Region, DataCentre: mem.DataCentre,
		Service: mem.Service, State: mem.State, Slots: uint32(mem.Slots),
	}
}

func encodeGate(gat gatestats.Stats) *operatorv1.GateStatus {
	return &operatorv1.GateStatus{
		State: gat.State, Running: uint32(gat.Running), Waiting: uint32(gat.Waiting), Limit: uint32(gat.Limit),
		AdmissionLevel: int32(gat.Level), Executed: gat.Executed,
	}
}
