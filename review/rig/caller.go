package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a caller sends, on a new connection.
type request struct {
	id, method, host, target, key, body string
	timeout                             time.Duration
}

// result is what a caller has seen of its request.
type result struct {
	request
	// sent and ended are counted from the start of the record.
	sent, ended time.Duration
	// status is 0 if no answer came; complete says that the whole answer came.
	status   int
	complete bool
	signed   bool
	failure  error
}

func (res result) String() string {
	return fmt.Sprintf("%s %s %s sent at %.3f s, status %d, complete %t, signed %t, ended after %.3f s, %v", res.id, res.method,
		res.target, res.sent.Seconds(), res.status, res.complete, res.signed, (res.ended - res.sent).Seconds(), res.failure)
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// send sends a request to a node and reads the answer within the request's timeout.
func send(ctx context.Context, rec *record, to netip.AddrPort, req request) result {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	res := result{request: req, sent: rec.since()}
	rec.write("caller sends %s %s %s to %s", req.id, req.method, req.target, to)
	res.failure = res.exchange(ctx, to)
	res.ended = rec.since()
	rec.write("caller: %v", res)
	return res
}

func (res *result) exchange(ctx context.Context, to netip.AddrPort) error {
	con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	if until, bounded := ctx.Deadline(); bounded {
		if err := con.SetDeadline(until); err != nil {
			return err
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", res.method, res.target, res.host, res.id, res.timeout.Milliseconds())
	if res.key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", res.key)
	}
	if res.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(res.body))
	}
	text.WriteString("\r\n" + res.body)
	if _, err := io.WriteString(con, text.String()); err != nil {
		return err
	}
	htr, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: res.method})
	if err != nil {
		return err
	}
	defer func() { _ = htr.Body.Close() }()
	res.status, res.signed = htr.StatusCode, htr.Header.Get("Response-Signature") != ""
	if _, err := io.ReadAll(htr.Body); err != nil {
		return err
	}
	res.complete = true
	return nil
}
