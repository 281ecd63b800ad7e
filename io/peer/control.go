package peer

import (
	"context"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"flamingoreach/core/leader"
	"flamingoreach/io/peer/envelope"
)

const (
	controlPath     = "/flamingoreach.control.v1.ControlService/"
	controlMaxBytes = 16 << 20
)

// controlKey identifies the Connect client for one procedure at one address.
type controlKey struct {
	address   netip.AddrPort
	procedure string
}

// Ask sends a control message to a node and returns its answer; its errors name the procedure and the node. Their
// text is sent on to the peer that asked for a relayed probe, and to the operator that asked for a fleet status.
func Ask[Req, Res any](ctx context.Context, cli *Client, address netip.AddrPort, procedure string, req Req) (Res, error) {
	type client = connect.Client[envelope.Envelope[Req], envelope.Envelope[Res]]
	var zero Res
	if !address.IsValid() {
		return zero, eris.Errorf("%s: no peer is known", procedure)
	}
	key := controlKey{address: address, procedure: procedure}
	known, found := cli.controls.Load(key)
	if !found {
		known, _ = cli.controls.LoadOrStore(key, connect.NewClient[envelope.Envelope[Req], envelope.Envelope[Res]](
			cli.http, cli.scheme+address.String()+controlPath+procedure,
			connect.WithCodec(cli.codec), connect.WithReadMaxBytes(controlMaxBytes), withoutCompression()))
	}
	dataCentre, lead, own := cli.Leader()
	env := &envelope.Envelope[Req]{DataCentre: dataCentre, Epoch: lead.Epoch, Body: req}
	if own {
		env.Leader = &lead
	}
	res, err := known.(*client).CallUnary(ctx, connect.NewRequest(env))
	if err != nil {
		return zero, eris.Wrapf(err, "%s at %s", procedure, address)
	}
	if res.Msg.DataCentre == "" {
		res.Msg.DataCentre = dataCentre
	}
	cli.OnLeader(res.Msg.DataCentre, res.Msg.LeaderOrZero())
	return res.Msg.Body, nil
}

// Handle registers the handler of a control message; if the handler fails, Ask fails at the sender.
func Handle[Req, Res any](ser *Server, procedure string, answer func(ctx context.Context, req Req) (Res, error)) {
	path := controlPath + procedure
	handler := connect.NewUnaryHandler(path, func(ctx context.Context, req *connect.Request[envelope.Envelope[Req]]) (*connect.Response[envelope.Envelope[Res]], error) {
		ser.OnLeader(req.Msg.DataCentre, req.Msg.LeaderOrZero())
		body, err := answer(ctx, req.Msg.Body)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		dataCentre, lead, _ := ser.Leader()
		env := &envelope.Envelope[Res]{Body: body}
		if dataCentre != req.Msg.DataCentre {
			env.DataCentre = dataCentre
		}
		if dataCentre != req.Msg.DataCentre || lead.Epoch > req.Msg.Epoch {
			env.Leader, env.Epoch = &lead, lead.Epoch
		}
		return connect.NewResponse(env), nil
	}, connect.WithCodec(ser.codec), connect.WithReadMaxBytes(controlMaxBytes))
	ser.mux.Handle(path, handler)
}

// leaderHooks connects control messages with the node's knowledge of leaders. Both fields must be set before the first
// message.
type leaderHooks struct {
	// Leader returns the data centre of this node, its leader as far as this node knows, and whether this node is the
	// leader.
	Leader func() (dataCentre string, lead leader.Leader, own bool)
	// OnLeader is called for each message received, with the sender's data centre and the leader that the message
	// names, of epoch 0 if it names none.
	OnLeader func(dataCentre string, lead leader.Leader)
}
