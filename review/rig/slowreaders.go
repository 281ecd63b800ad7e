package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// answerBytes is the size of the long answers.
	answerBytes = 300 << 10
	// A slow caller reads burstBytes, then nothing for pauseTime, and so on.
	burstBytes = 100 << 10
	pauseTime  = 3 * time.Second
	// receiveBuffer is the size of the receive buffer that a caller asks for.
	receiveBuffer = 32 << 10
	slowCallers   = 8
	slowTimeout   = 20 * time.Second
)

// playSlowReaders lets callers read long answers in bursts.
func playSlowReaders(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec, site{"m1", "ams-a", "quotes"}, site{"m2", "rtm-b", "quotes"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	dep.store.putConfiguration(configuration(7, []route{{"quote", "/quote/", "quotes", "idempotent", 30000, 1500, false}},
		[]account{{"pulo780", key, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	var callers sync.WaitGroup
	lost := make(chan bool, slowCallers)
	for range slowCallers {
		callers.Go(func() {
			err := readInBursts(ctx, rec, dep.machines[0].at(callersPort), trouble)
			rec.say("caller: %v", err)
			lost <- err != nil
		})
	}
	callers.Wait()
	close(lost)
	count := 0
	for isLost := range lost {
		if isLost {
			count++
		}
	}
	rec.say("connections closed without a whole answer: %d of %d", count, slowCallers)
	return count > maxLost, nil
}

// readInBursts sends a request with a short answer and, on the same connection, one with a long answer, which it reads in
// bursts if slow.
func readInBursts(ctx context.Context, rec *record, to netip.AddrPort, slow bool) error {
	con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	err = errors.Join(con.(*net.TCPConn).SetReadBuffer(receiveBuffer), con.SetDeadline(time.Now().Add(slowTimeout)))
	if err != nil {
		return err
	}
	reader := bufio.NewReader(con)
	for _, size := range []int{1, answerBytes} {
		if err := readAnswer(rec, con, reader, size, slow); err != nil {
			return err
		}
	}
	return nil
}

func readAnswer(rec *record, con io.Writer, reader *bufio.Reader, size int, slow bool) error {
	id := newID()
	rec.write("caller sends %s, the answer has %d bytes", id, size)
	if _, err := fmt.Fprintf(con, "GET /quote/long?work=20&size=%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		size, hostName, id, slowTimeout.Milliseconds(), key); err != nil {
		return err
	}
	htr, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = htr.Body.Close() }()
	for got := int64(0); got < int64(size); {
		count, err := io.CopyN(io.Discard, htr.Body, min(burstBytes, int64(size)-got))
		got += count
		rec.write("caller: %s, status %d, %d of %d bytes, %v", id, htr.StatusCode, got, size, err)
		if err != nil {
			return err
		}
		if slow && got < int64(size) {
			time.Sleep(pauseTime)
		}
	}
	return nil
}
