package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// refusedPause is how long a caller waits after a refusal.
const refusedPause = time.Second

// sendOnKept sends requests to a node, one after the other on one connection, until the context ends. A new connection
// follows one that ended. It returns what became of each request.
func sendOnKept(ctx context.Context, rec *record, to netip.AddrPort, target string) []result {
	var results []result
	for ctx.Err() == nil {
		con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(con)
		for ctx.Err() == nil {
			res := result{request: request{id: newID(), method: http.MethodGet, target: target, timeout: 2 * time.Second}, sent: rec.since()}
			ends := false
			ends, res.failure = res.exchangeOnKept(con, reader)
			res.ended = rec.since()
			rec.write("caller: %v", res)
			results = append(results, res)
			// A sound caller waits as it is told after a refusal.
			if res.status == http.StatusServiceUnavailable {
				time.Sleep(refusedPause)
			}
			if ends || res.failure != nil {
				break
			}
		}
		_ = con.Close()
	}
	return results
}

// exchangeOnKept sends one request on an open connection and reports whether the node ends the connection after it.
func (res *result) exchangeOnKept(con net.Conn, reader *bufio.Reader) (ends bool, err error) {
	if err := con.SetDeadline(time.Now().Add(res.timeout)); err != nil {
		return true, err
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		res.method, res.target, hostName, res.id, res.timeout.Milliseconds(), key)
	if _, err := io.WriteString(con, text); err != nil {
		return true, err
	}
	htr, err := http.ReadResponse(reader, &http.Request{Method: res.method})
	if err != nil {
		return true, err
	}
	defer func() { _ = htr.Body.Close() }()
	res.status, res.signed = htr.StatusCode, htr.Header.Get("Response-Signature") != ""
	if _, err := io.ReadAll(htr.Body); err != nil {
		return true, err
	}
	res.complete = true
	return htr.Close, nil
}
