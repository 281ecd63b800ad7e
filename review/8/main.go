// Command 8 shows what becomes of pipelined requests that upstreams run when their node gets SIGTERM.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"flamingoreach/review/rig2"
)

const (
	timeLimitMs = 5000
	workTime    = 500 * time.Millisecond
	// stopAfter is the time from the sending of the requests to SIGTERM: all of them run by then.
	stopAfter   = 200 * time.Millisecond
	answerBytes = 5000
	pipelined   = 6
)

func main() {
	host := func(service string) rig2.Settings {
		return rig2.Settings{Zone: "ams-a", Service: service, MemoryMB: 284, GraceS: 6, Slots: 104}
	}
	os.Exit(rig2.Case{
		Configuration: rig2.Configuration(1,
			rig2.Route{Name: "r-q", Prefix: "/leny950/", Service: "quotes", Kind: "idempotent", TimeoutMs: timeLimitMs, MaxAttempts: 2}),
		Hosts: []rig2.Settings{host("margins"), host("quotes"), host("quotes")},
		Work: func(*http.Request, []byte) []byte {
			time.Sleep(workTime)
			return make([]byte, answerBytes)
		},
		Run: run,
	}.Main())
}

func requestID(number int) string { return fmt.Sprint("read-", number) }

// run sends pipelined requests and stops the node that takes them while upstreams run them. A request is lost if an upstream
// ran it and the connection ended without its complete answer; one that no upstream ran does not count.
func run(ctx context.Context, fle *rig2.Fleet, trouble bool) (string, error) {
	answered, err := exchange(ctx, fle, trouble)
	if err != nil {
		return "", err
	}
	lost := 0
	for number := answered; number < pipelined; number++ {
		runs := 0
		for _, hos := range fle.Hosts {
			runs += hos.Upstream.Runs(requestID(number))
		}
		fle.Record.Write("not answered", "id", requestID(number), "runs", runs)
		if runs > 0 {
			lost++
		}
	}
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d of %d requests were passed on to an upstream and not answered", lost, pipelined), nil
}

// exchange sends the requests at once on one connection, sends SIGTERM to the node, and returns the number of complete
// answers before the connection ended.
func exchange(ctx context.Context, fle *rig2.Fleet, trouble bool) (int, error) {
	con, err := (&net.Dialer{}).DialContext(ctx, "tcp", fle.Hosts[0].Outbound.String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = con.Close() }()
	if err := con.SetDeadline(time.Now().Add(timeLimitMs * time.Millisecond)); err != nil {
		return 0, err
	}
	text := ""
	for number := range pipelined {
		fle.Record.Write("sent", "id", requestID(number))
		text += fmt.Sprintf("GET /leny950/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
			number, rig2.HostName, requestID(number), timeLimitMs, rig2.Key)
	}
	if _, err := io.WriteString(con, text); err != nil {
		return 0, err
	}
	time.Sleep(stopAfter)
	if trouble {
		fle.Hosts[0].Signal(syscall.SIGTERM)
	}
	reader := bufio.NewReader(con)
	for number := range pipelined {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			fle.Record.Write("connection ended", "before", requestID(number), "error", err)
			return number, nil
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			fle.Record.Write("connection ended", "within", requestID(number), "error", err)
			return number, nil
		}
		fle.Record.Write("answered", "id", res.Header.Get("Attempt-Id"), "status", res.StatusCode, "bytes", len(body), "close", res.Close)
	}
	return pipelined, nil
}
