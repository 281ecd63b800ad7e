package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// answerBytes is the size of the long answers.
	answerBytes = 300 << 10
	// slowBytes is what a slow caller reads in each slowInterval.
	slowBytes    = 5 << 10
	slowInterval = 200 * time.Millisecond
	// receiveBuffer is the size of a caller's receive buffer that it asks for.
	receiveBuffer = 32 << 10
	slowCallers   = 8
)

func playSlowReaders(ctx context.Context, rec *record, trouble bool) (bool, error) {
	dep, err := newDeployment(ctx, rec, site{"m1", "ams-a", "quotes"}, site{"m2", "rtm-b", "quotes"})
	defer dep.close()
	if err != nil {
		return false, err
	}
	dep.store.putConfiguration(configuration(7, []route{
		{"quote", "/quote/", "quotes", "idempotent", 30000, 1500, false},
	}, []account{{"pulo780", key, 1000, 1000}}))
	if err := dep.startAll(ctx); err != nil {
		return false, err
	}
	if err := dep.awaitReady(ctx); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	var wg sync.WaitGroup
	for range slowCallers {
		wg.Go(func() {
			con, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", dep.machines[0].at(callersPort).String())
			if err != nil {
				rec.say("%v", err)
				return
			}
			defer func() { _ = con.Close() }()
			_ = con.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			_ = con.SetDeadline(time.Now().Add(30 * time.Second))
			reader := bufio.NewReaderSize(con, 1024)
			for n := range 2 {
				id := newID()
				size := 100
				if n == 1 {
					size = answerBytes
				}
				_, _ = fmt.Fprintf(con, "GET /quote/x?work=20&size=%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 30000\r\nAuthorization: Bearer %s\r\n\r\n", size, hostName, id, key)
				began := time.Now()
				htr, err := http.ReadResponse(reader, nil)
				if err != nil {
					rec.say("head %v", err)
					return
				}
				got := 0
				buf := make([]byte, slowBytes)
				for {
					k, err := io.ReadFull(htr.Body, buf)
					got += k
					if err != nil {
						rec.say("%s: status %d, %d of %d bytes after %.2f s, %v", id, htr.StatusCode, got, size, time.Since(began).Seconds(), err)
						if got < size {
							return
						}
						break
					}
					if trouble {
						time.Sleep(slowInterval)
					}
				}
				_ = htr.Body.Close()
			}
		})
	}
	wg.Wait()
	return false, nil
}
