package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	requestTime = 2 * time.Second
	// configurationTime is the time after which a version must be in force at a host that nothing befell.
	configurationTime = 3 * time.Second
	thinkTime         = 20 * time.Millisecond
)

// client sends requests to one node on connections that it keeps until the process is gone.
type client struct {
	name   string
	host   *host
	fleet  *Fleet
	client http.Client
}

func (cli *client) run(ctx context.Context) {
	cli.client.Transport = &http.Transport{MaxIdleConnsPerHost: 4}
	for number := 0; ctx.Err() == nil; number++ {
		cli.send(ctx, number)
		select {
		case <-time.After(thinkTime):
		case <-ctx.Done():
		}
	}
	cli.client.CloseIdleConnections()
}

func (cli *client) send(ctx context.Context, number int) {
	id := fmt.Sprintf("%s-%d", cli.name, number)
	idempotent := number%3 != 0
	method, path := http.MethodGet, "/quotes/"
	if !idempotent {
		method, path = http.MethodPost, "/confirms/"
	}
	shown := cli.fleet.key(number)
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cli.host.callers.String()+path+id, strings.NewReader(id))
	if err != nil {
		return
	}
	req.Host = "soak.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+shown.text)
	started := time.Now()
	res, err := cli.client.Do(req)
	if err != nil {
		cli.fleet.ledger.answered(id, answerTold{idempotent: idempotent})
		return
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	status := res.StatusCode
	if err != nil {
		status = 0
	}
	cli.fleet.ledger.answered(id, answerTold{status: status, idempotent: idempotent})
	switch {
	case status == statusOK && (string(body) != id || res.Header.Get("Response-Signature") == ""):
		cli.fleet.ledger.violate("own answer", "%s got %q", id, body)
	case status == statusOK && surely(shown.withdrawn, started, cli.host):
		cli.fleet.ledger.violate("withdrawn key", "%s ran %s after its key was withdrawn", id, started.Sub(shown.withdrawn))
	case status == http.StatusUnauthorized && shown.withdrawn.IsZero() && surely(shown.granted, started, cli.host) && cli.fleet.isValid(shown):
		cli.fleet.ledger.violate("no wrongful refusal", "%s got %d with a key granted %s ago", id, status, started.Sub(shown.granted))
	case status == http.StatusNotFound:
		cli.fleet.ledger.violate("no wrongful refusal", "%s got %d", id, status)
	}
}
