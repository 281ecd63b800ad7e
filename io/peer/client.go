package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/bytecount"
	"flamingoreach/io/http1"
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1/callv1connect"
	"flamingoreach/io/room"
)

const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// If nothing arrives on a connection for pingAfter, it gets a ping; without an answer it is closed after
	// pingTimeout.
	pingAfter       = 2 * time.Second
	pingTimeout     = 2 * time.Second
	maxMessageBytes = 64 << 20
)

// Client sends calls and control messages to other nodes.
type Client struct {
	leaderHooks

	http connect.HTTPClient
	// streams, if set, sends calls whose bodies are passed on as they arrive.
	streams *pooledClient
	// sweep closes connections that were idle too long, and closeIdle closes all idle ones.
	sweep, closeIdle func()

	scheme string
	// calls holds a Connect client for each address, and controls one for each controlKey.
	calls        sync.Map
	controls     sync.Map
	codec        *codec
	controlBytes atomic.Uint64
	counter      bytecount.Counter
}

// NewClient returns a client over HTTP/2 without connections; dialTLS is nil for cleartext.
func NewClient(dialTLS func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	protocols := new(http.Protocols)
	cli := &Client{scheme: "http://"}
	dial := cli.counter.Dialer((&net.Dialer{Timeout: dialTimeout}).DialContext)
	cli.codec = newCodec(&cli.controlBytes)
	if dialTLS == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
		cli.scheme = "https://"
	}
	client := &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		DialContext:        dial,
		DialTLSContext:     dialTLS,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
	cli.http, cli.sweep, cli.closeIdle = tracedClient{client}, func() {}, client.CloseIdleConnections
	return cli
}

// NewPooledClient returns a client with one call at a time on each cleartext connection, so that a lost packet delays
// one call only. Connections are closed if the peer stops responding. The long answers of all nodes share the room.
func NewPooledClient(roo *room.Room) *Client {
	cli := &Client{scheme: "http://"}
	cli.codec = newCodec(&cli.controlBytes)
	pools := &pooledClient{room: roo, pools: map[netip.AddrPort]*http1.Pool{}}
	cli.http, cli.streams, cli.sweep, cli.closeIdle = pools, pools, pools.sweep, pools.closeIdle
	return cli
}

// ControlBytes returns the bytes of all control messages sent and received by this client.
func (cli *Client) ControlBytes() uint64 { return cli.controlBytes.Load() }

// ConnectionBytes returns the bytes of this client's cleartext HTTP/2 connections, calls included. TLS connections are
// not counted: the transport reads the negotiated protocol from a *tls.Conn only, so that they cannot be wrapped.
func (cli *Client) ConnectionBytes() uint64 { return cli.counter.Bytes() }

// Sweep closes connections that were idle too long. It does nothing for HTTP/2, where the transport closes them.
func (cli *Client) Sweep() { cli.sweep() }

// Close closes idle connections.
func (cli *Client) Close() { cli.closeIdle() }

func (cli *Client) callService(address netip.AddrPort) callv1connect.CallServiceClient {
	if service, known := cli.calls.Load(address); known {
		return service.(callv1connect.CallServiceClient)
	}
	service := callv1connect.NewCallServiceClient(cli.http, cli.scheme+address.String(),
		connect.WithReadMaxBytes(maxMessageBytes), withoutCompression())
	cli.calls.Store(address, service)
	return service
}

// Run sends one attempt to a gate. Its error is a *refusal.Refusal, with the outcome "not run" only if nothing was sent.
func (cli *Client) Run(ctx context.Context, address netip.AddrPort, cal call.Call, version uint64, msg message.Message) (answer.Answer, message.Message, error) {
	if cli.streams != nil {
		return cli.runStream(ctx, address, cal, version, msg)
	}
	return cli.runUnary(ctx, address, cal, version, msg)
}

// runUnary sends a call as one message; its body and that of the answer are held whole.
func (cli *Client) runUnary(ctx context.Context, address netip.AddrPort, cal call.Call, version uint64, msg message.Message) (answer.Answer, message.Message, error) {
	res, err := cli.callService(address).Run(ctx, connect.NewRequest(encodeRequest(cal, version, msg)))
	if err != nil {
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, err)
	}
	ans, reply, err := decodeResponse(res.Msg)
	if err != nil {
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, err)
	}
	return ans, reply, nil
}

// refusalOfFailure returns the refusal for a call without an answer. Only a call that was never sent, or that the peer had no
// room to read, is known not to have run.
func refusalOfFailure(address netip.AddrPort, err error) *refusal.Refusal {
	ref := refusal.Unknown(reason.PeerUnreachable, "run at peer")
	var fai *http1.Failure
	if errors.As(err, &fai) && fai.Stage == http1.Connecting {
		ref = refusal.NotRun(reason.PeerUnreachable, "connect to peer")
		ref.Elsewhere = true
	}
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted {
		ref = refusal.NotRun(reason.BodiesFull, "run at peer")
		ref.Elsewhere = true
	}
	ref.Peer = address
	return ref
}
