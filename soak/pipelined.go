package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

// rowRequests is the number of requests that a pipelined client sends at once, more than a node runs at the same time.
const rowRequests = 10

// idempotentPaths are the paths of the routes whose requests run at the same time for one connection.
var idempotentPaths = [...]string{"/quotes/", movingPath}

// pipelinedClient sends rows of requests to one node, each before the one ahead is answered. It keeps its connection as long as
// that works.
type pipelinedClient struct {
	name    string
	address netip.AddrPort
	fleet   *Fleet
}

func (cli *pipelinedClient) run(ctx context.Context) {
	var con net.Conn
	var reader *bufio.Reader
	for row := 0; ctx.Err() == nil; row++ {
		if con == nil {
			var err error
			if con, err = (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, "tcp", cli.address.String()); err != nil {
				con = nil
				dispatcher.Wait(ctx, thinkTime)
				continue
			}
			reader = bufio.NewReader(con)
		}
		if !cli.exchange(con, reader, fmt.Sprintf("%s-%d", cli.name, row)) {
			_ = con.Close()
			con = nil
		}
		dispatcher.Wait(ctx, thinkTime)
	}
	if con != nil {
		_ = con.Close()
	}
}

// exchange sends a row and reads its answers. It reports whether the connection can be used for another row.
func (cli *pipelinedClient) exchange(con net.Conn, reader *bufio.Reader, row string) bool {
	if con.SetDeadline(time.Now().Add(2*requestTimeout)) != nil {
		return false
	}
	var text bytes.Buffer
	for number := range rowRequests {
		id := fmt.Sprintf("%s-%d", row, number)
		err := standin.Request{
			ID: id, Method: http.MethodGet, Host: requestHost, Path: idempotentPaths[number%len(idempotentPaths)] + id,
			Key: cli.fleet.key(1).text, Timeout: requestTimeout,
		}.Write(&text, cli.address)
		if err != nil {
			return false
		}
	}
	if _, err := text.WriteTo(con); err != nil {
		return false
	}
	for number := range rowRequests {
		id := fmt.Sprintf("%s-%d", row, number)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return false
		case res.StatusCode == http.StatusRequestTimeout:
			cli.promiseNotRun(row, number)
			return false
		case res.StatusCode == statusOK && string(body) != id:
			cli.fleet.ledger.addViolation("own answer", "%s got %q", id, body)
		}
		cli.fleet.ledger.recordAnswer(id, callerAnswer{status: res.StatusCode, idempotent: true})
		if res.Close {
			cli.promiseNotRun(row, number+1)
			return false
		}
	}
	return true
}

// promiseNotRun records that the node has told that the requests of a row from a number on have not run.
func (cli *pipelinedClient) promiseNotRun(row string, from int) {
	for number := from; number < rowRequests; number++ {
		cli.fleet.ledger.recordNotRun(fmt.Sprintf("%s-%d", row, number))
	}
}
