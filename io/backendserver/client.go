package backendserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/handletable"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/message"
)

const (
	dialTimeout     = time.Second
	idleConnections = 1024
	idleTimeout     = 30 * time.Second
	// headerBytes bounds the header of one answer.
	headerBytes = 64 << 10
)

// Client sends calls to the local backend server.
type Client struct {
	// BodyBytes bounds an answer's body.
	BodyBytes int64
	// OnFailure, if set, is called for each call whose connection failed after it was established, which may be due to a
	// crash of the backend server.
	OnFailure func(cal call.Call)

	handles   *handletable.Table
	transport *http.Transport
}

// NewClient returns a client that registers running calls in a table of call handles.
func NewClient(handles *handletable.Table, bodyBytes int64) *Client {
	return &Client{
		BodyBytes: bodyBytes,
		handles:   handles,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: headerBytes,
		},
	}
}

// Close closes idle connections.
func (cli *Client) Close() { cli.transport.CloseIdleConnections() }

// Execute sends a call once and returns the complete answer, or a refusal that states whether the call may have run.
func (cli *Client) Execute(ctx context.Context, address netip.AddrPort, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
	name, han := cli.handles.Add(cal)
	defer cli.handles.Remove(name)
	started := time.Now()
	reply, ref := cli.exchange(ctx, address, cal, name, msg)
	if ref != nil {
		ref.Peer = address
	}
	return answer.Answer{CallID: cal.ID, Refusal: ref, AllowanceLeft: han.Allowance.Left(), ServiceTime: time.Since(started)}, reply
}

func (cli *Client) exchange(ctx context.Context, address netip.AddrPort, cal call.Call, handleName string, msg message.Message) (message.Message, *refusal.Refusal) {
	var connected atomic.Bool
	written := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(wro httptrace.WroteRequestInfo) { written <- wro.Err },
	})
	htr, err := newRequest(ctx, address, cal, handleName, msg)
	if err != nil {
		return message.Message{}, refusal.NotRun(reason.HeaderInvalid, "build request to backend server")
	}
	res, err := cli.transport.RoundTrip(htr)
	if err != nil {
		return message.Message{}, cli.refusalOfFailure(ctx, cal, connected.Load())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, cli.BodyBytes+1))
	if err == nil && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		// Only the end of the connection ended the body. If it was reset, the kernel may have told that to the write of the
		// request alone.
		err = awaitWritten(ctx, written)
	}
	switch {
	case ctx.Err() != nil:
		return message.Message{}, refusal.Unknown(reason.Cancelled, "read answer of backend server")
	case err != nil:
		cli.reportFailure(cal)
		return message.Message{}, refusal.Unknown(reason.AnswerTruncated, "read answer of backend server")
	case int64(len(body)) > cli.BodyBytes:
		return message.Message{}, refusal.Unknown(reason.BodyTooLarge, "read answer of backend server")
	}
	if res.Header.Get(message.Outcome) == outcome.NotRun.String() {
		ref := refusal.NotRun(reason.BackendServerShed, "ask backend server")
		ref.Elsewhere = true
		return message.Message{}, ref
	}
	return message.Message{Status: res.StatusCode, Header: message.EndToEnd(res.Header), Body: body}, nil
}

// awaitWritten returns the error with which the write of the request ended, or that of the context.
func awaitWritten(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newRequest sets a body that is never nil and cannot be rewound, so that the transport itself never retries a request
// of which it has written any byte.
func newRequest(ctx context.Context, address netip.AddrPort, cal call.Call, handleName string, msg message.Message) (*http.Request, error) {
	htr, err := http.NewRequestWithContext(ctx, msg.Method, "http://"+address.String()+msg.Target, io.NopCloser(bytes.NewReader(msg.Body)))
	if err != nil {
		return nil, eris.Wrapf(err, "build request to backend server %s", address)
	}
	htr.ContentLength = int64(len(msg.Body))
	for name, values := range msg.Header {
		htr.Header[name] = values
	}
	if _, named := htr.Header["User-Agent"]; !named {
		// A nil value keeps net/http from adding a User-Agent of its own.
		htr.Header["User-Agent"] = nil
	}
	htr.Header.Set(message.CallID, cal.ID.String())
	htr.Header.Set(message.CallHandle, handleName)
	htr.Header.Set(message.Deadline, cal.Deadline.UTC().Format(time.RFC3339Nano))
	return htr, nil
}

func (cli *Client) refusalOfFailure(ctx context.Context, cal call.Call, connected bool) *refusal.Refusal {
	switch {
	case !connected && ctx.Err() != nil:
		return refusal.NotRun(reason.Cancelled, "connect to backend server")
	case !connected:
		ref := refusal.NotRun(reason.BackendServerDown, "connect to backend server")
		ref.Elsewhere = true
		return ref
	case ctx.Err() != nil:
		return refusal.Unknown(reason.Cancelled, "wait for backend server")
	default:
		cli.reportFailure(cal)
		return refusal.Unknown(reason.BackendServerFailed, "wait for backend server")
	}
}

func (cli *Client) reportFailure(cal call.Call) {
	if cli.OnFailure != nil {
		cli.OnFailure(cal)
	}
}
