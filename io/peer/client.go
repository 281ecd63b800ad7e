package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1/callv1connect"
	"flamingoreach/io/tcpoptions"
)

const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	// A connection whose peer is silent for pingAfter is probed, and closed after pingTimeout.
	pingAfter       = 2 * time.Second
	pingTimeout     = 2 * time.Second
	maxMessageBytes = 64 << 20

	// pooledDialTimeout spans a round trip between regions and one lost packet of the handshake is not waited for.
	pooledDialTimeout = 300 * time.Millisecond
	// pooledIdle is the number of idle connections kept to each node; with many nodes they are what memory goes to.
	pooledIdle = 4
	// pooledIdleTimeout is below the idle time of the nodes' listeners, which would end a connection in use.
	pooledIdleTimeout = 3 * time.Second
)

// Client calls other nodes over HTTP/2.
type Client struct {
	leadership

	http         *http.Client
	scheme       string
	calls        sync.Map
	controls     sync.Map
	codec        *codec
	controlBytes atomic.Uint64
	counter      bytecount.Counter
}

// NewClient returns a client without connections; dialTLS is nil for cleartext.
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
	cli.http = &http.Client{Transport: &http.Transport{
		Protocols:          protocols,
		DialContext:        dial,
		DialTLSContext:     dialTLS,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
	return cli
}

// NewPooledClient returns a client that has one call at a time on each cleartext connection, so that a lost packet holds
// up one call only. Connections whose other end is silent are ended.
func NewPooledClient() *Client {
	cli := &Client{scheme: "http://"}
	cli.codec = newCodec(&cli.controlBytes)
	cli.http = &http.Client{Transport: &http.Transport{
		DialContext:         cli.counter.Dialer(tcpoptions.Dialer(pooledDialTimeout).DialContext),
		MaxIdleConnsPerHost: pooledIdle,
		IdleConnTimeout:     pooledIdleTimeout,
		DisableCompression:  true,
	}}
	return cli
}

// ControlBytes returns the bytes of all control messages sent and received by this client.
func (cli *Client) ControlBytes() uint64 { return cli.controlBytes.Load() }

// ConnectionBytes returns the bytes of all cleartext connections of this client, calls included; those with TLS are
// left out, as the transport finds the protocol on a *tls.Conn only.
func (cli *Client) ConnectionBytes() uint64 { return cli.counter.Bytes() }

// Close drops idle connections.
func (cli *Client) Close() { cli.http.CloseIdleConnections() }

func (cli *Client) callService(address netip.AddrPort) callv1connect.CallServiceClient {
	if service, known := cli.calls.Load(address); known {
		return service.(callv1connect.CallServiceClient)
	}
	service := callv1connect.NewCallServiceClient(cli.http, cli.scheme+address.String(),
		connect.WithReadMaxBytes(maxMessageBytes), uncompressed())
	cli.calls.Store(address, service)
	return service
}

// Run sends one attempt to a gate. An error is a *refusal.Refusal, "not run" only if nothing was sent.
func (cli *Client) Run(ctx context.Context, address netip.AddrPort, cal call.Call, version uint64, msg message.Message) (answer.Answer, message.Message, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	res, err := cli.callService(address).Run(ctx, connect.NewRequest(encodeRequest(cal, version, msg)))
	if err != nil {
		return answer.Answer{}, message.Message{}, failure(address, connected.Load())
	}
	ans, reply, err := decodeResponse(res.Msg)
	if err != nil {
		return answer.Answer{}, message.Message{}, failure(address, true)
	}
	return ans, reply, nil
}

func failure(address netip.AddrPort, connected bool) *refusal.Refusal {
	ref := refusal.Unknown(reason.PeerUnreachable, "run at peer")
	if !connected {
		ref = refusal.NotRun(reason.PeerUnreachable, "connect to peer")
		ref.Elsewhere = true
	}
	ref.Peer = address
	return ref
}
