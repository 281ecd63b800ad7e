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

// controlKey finds the connect client for one procedure at one address.
type controlKey struct {
	address   netip.AddrPort
	procedure string
}

// Ask sends a control message to a node and returns its answer; it fails with the step and the peer.
func Ask[Req, Res any](ctx context.Context, cli *Client, address netip.AddrPort, procedure string, req Req) (Res, error) {
	type client = connect.Client[envelope.Envelope[Req], envelope.Envelope[Res]]
	var nothing Res
	if !address.IsValid() {
		return nothing, eris.Errorf("%s: no peer is known", procedure)
	}
	key := controlKey{address: address, procedure: procedure}
	known, found := cli.controls.Load(key)
	if !found {
		known, _ = cli.controls.LoadOrStore(key, connect.NewClient[envelope.Envelope[Req], envelope.Envelope[Res]](
			cli.http, cli.scheme+address.String()+controlPath+procedure,
			connect.WithCodec(cli.codec), connect.WithReadMaxBytes(controlMaxBytes), uncompressed()))
	}
	dataCentre, lead, own := cli.Leader()
	env := &envelope.Envelope[Req]{DataCentre: dataCentre, Epoch: lead.Epoch, Body: req}
	if own {
		env.Leader = &lead
	}
	res, err := known.(*client).CallUnary(ctx, connect.NewRequest(env))
	if err != nil {
		return nothing, eris.Wrapf(err, "%s at %s", procedure, address)
	}
	if res.Msg.DataCentre == "" {
		res.Msg.DataCentre = dataCentre
	}
	cli.LeaderHeard(res.Msg.DataCentre, res.Msg.Heard())
	return res.Msg.Body, nil
}

// Answer registers the handler of a control message; an error of it reaches the asking node as a failure.
func Answer[Req, Res any](ser *Server, procedure string, answer func(ctx context.Context, req Req) (Res, error)) {
	path := controlPath + procedure
	handler := connect.NewUnaryHandler(path, func(ctx context.Context, req *connect.Request[envelope.Envelope[Req]]) (*connect.Response[envelope.Envelope[Res]], error) {
		ser.LeaderHeard(req.Msg.DataCentre, req.Msg.Heard())
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

// leadership is what every control message tells and learns.
type leadership struct {
	// Leader returns the own data centre, its leader as this node knows it, and whether that is this node.
	Leader func() (dataCentre string, lead leader.Leader, own bool)
	// LeaderHeard is told of the leader that a peer knows.
	LeaderHeard func(dataCentre string, lead leader.Leader)
}
