package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"flamingoreach/io/dispatcher"
	"flamingoreach/platform/standin"
)

const (
	requestTimeout = 2 * time.Second
	// configurationDeadline is the time after which a new version must be in force at a host without faults.
	configurationDeadline = 3 * time.Second
	thinkTime             = 20 * time.Millisecond
	// Of a client's requests, numbered from 0, every nonIdempotentEvery-th must not run twice, and every
	// withdrawnKeyEvery-th presents a withdrawn key, once there is one. Of every movingRouteEvery requests one takes
	// the moving route, unless it must not run twice: one request in six.
	nonIdempotentEvery = 3
	withdrawnKeyEvery  = 17
	movingRouteEvery   = 4
	movingPath         = "/moving/"
)

// client sends requests to one node. It keeps its connections as long as they work, so that requests also arrive on
// connections that were opened before a change of the configuration.
type client struct {
	name   string
	host   *host
	fleet  *Fleet
	caller *standin.Caller
}

func (cli *client) run(ctx context.Context) {
	defer cli.caller.Close()
	for number := 0; ctx.Err() == nil; number++ {
		cli.send(ctx, number)
		dispatcher.Wait(ctx, thinkTime)
	}
}

func (cli *client) send(ctx context.Context, number int) {
	id := fmt.Sprintf("%s-%d", cli.name, number)
	method, path := kindOf(number)
	idempotent, moving := method == http.MethodGet, path == movingPath
	service, moved := cli.fleet.movingRoute()
	presented := cli.fleet.key(number)
	started := time.Now()
	rep, err := cli.caller.Send(ctx, standin.Request{
		ID: id, Method: method, Host: requestHost, Path: path + id, Key: presented.text, Body: id, Timeout: requestTimeout,
	})
	if err != nil {
		cli.fleet.ledger.recordAnswer(id, callerAnswer{idempotent: idempotent})
		return
	}
	cli.fleet.ledger.recordAnswer(id, callerAnswer{status: rep.Status, idempotent: idempotent})
	if moving && rep.Status == statusOK {
		cli.checkRoute(id, service, moved, started)
	}
	switch {
	case rep.Status == statusOK && (rep.Body != id || !rep.Signed):
		cli.fleet.ledger.addViolation("own answer", "%s got %q", id, rep.Body)
	case rep.Status == statusOK && mustBeInForce(presented.withdrawn, started, cli.host):
		cli.fleet.ledger.addViolation("withdrawn key", "%s ran %s after its key was withdrawn", id, started.Sub(presented.withdrawn))
	case rep.Status == http.StatusUnauthorized && presented.withdrawn.IsZero() && mustBeInForce(presented.granted, started, cli.host) && cli.fleet.isValid(presented):
		cli.fleet.ledger.addViolation("no wrongful refusal", "%s got %d with a key granted %s ago", id, rep.Status, started.Sub(presented.granted))
	case rep.Status == http.StatusNotFound:
		cli.fleet.ledger.addViolation("no wrongful refusal", "%s got %d", id, rep.Status)
	}
}

// kindOf returns the method and the path of a request by its number; requests other than GET must not run twice.
func kindOf(number int) (method, path string) {
	switch {
	case number%nonIdempotentEvery == 0:
		return http.MethodPost, "/confirms/"
	case number%movingRouteEvery == 1:
		return http.MethodGet, movingPath
	}
	return http.MethodGet, "/quotes/"
}

// checkRoute reports a request that ran at another service than the one of its route, if the route moved there long
// enough before the request was sent and has not moved since.
func (cli *client) checkRoute(id, service string, moved, started time.Time) {
	_, since := cli.fleet.movingRoute()
	if executedBy := cli.fleet.ledger.service(id); executedBy != service && since.Equal(moved) && mustBeInForce(moved, started, cli.host) {
		cli.fleet.ledger.addViolation("route", "%s ran at %s %s after its route was moved to %s", id, executedBy, started.Sub(moved), service)
	}
}
