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
	requestTime = 2 * time.Second
	// configurationTime is the time after which a version must be in force at a host that nothing befell.
	configurationTime = 3 * time.Second
	thinkTime         = 20 * time.Millisecond
	// repeatableOf, withdrawnOf and movingOf are the numbers of requests of which one must not run twice, shows a
	// withdrawn key, or takes the route that moves.
	repeatableOf = 3
	withdrawnOf  = 17
	movingOf     = 4
	movingPath   = "/moving/"
)

// client sends requests to one node on connections that it keeps until the process is gone.
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
	shown := cli.fleet.key(number)
	started := time.Now()
	rep, err := cli.caller.Send(ctx, standin.Request{
		ID: id, Method: method, Host: hostName, Path: path + id, Key: shown.text, Body: id, Timeout: requestTime,
	})
	if err != nil {
		cli.fleet.ledger.answered(id, answerTold{idempotent: idempotent})
		return
	}
	cli.fleet.ledger.answered(id, answerTold{status: rep.Status, idempotent: idempotent})
	if moving && rep.Status == statusOK {
		cli.checkRoute(id, service, moved, started)
	}
	switch {
	case rep.Status == statusOK && (rep.Body != id || !rep.Signed):
		cli.fleet.ledger.violate("own answer", "%s got %q", id, rep.Body)
	case rep.Status == statusOK && surely(shown.withdrawn, started, cli.host):
		cli.fleet.ledger.violate("withdrawn key", "%s ran %s after its key was withdrawn", id, started.Sub(shown.withdrawn))
	case rep.Status == http.StatusUnauthorized && shown.withdrawn.IsZero() && surely(shown.granted, started, cli.host) && cli.fleet.isValid(shown):
		cli.fleet.ledger.violate("no wrongful refusal", "%s got %d with a key granted %s ago", id, rep.Status, started.Sub(shown.granted))
	case rep.Status == http.StatusNotFound:
		cli.fleet.ledger.violate("no wrongful refusal", "%s got %d", id, rep.Status)
	}
}

// kindOf returns the method and the path of a request by its number; those that are no GET must not run twice.
func kindOf(number int) (method, path string) {
	switch {
	case number%repeatableOf == 0:
		return http.MethodPost, "/confirms/"
	case number%movingOf == 1:
		return http.MethodGet, movingPath
	}
	return http.MethodGet, "/quotes/"
}

// checkRoute compares where a request ran with the version that surely was in force when it was sent, and still is.
func (cli *client) checkRoute(id, service string, moved, started time.Time) {
	_, since := cli.fleet.movingRoute()
	if ran := cli.fleet.ledger.service(id); ran != service && since.Equal(moved) && surely(moved, started, cli.host) {
		cli.fleet.ledger.violate("route", "%s ran at %s %s after its route was moved to %s", id, ran, started.Sub(moved), service)
	}
}
