package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/http1"
	"flamingoreach/io/room"
)

const testTime = 5 * time.Second

// serve accepts connections and runs one script on each: the first script on the first connection and so on, and the
// last script on all further ones. The channel yields the index of each accepted connection.
func serve(t *testing.T, scripts ...func(con net.Conn, reader *bufio.Reader)) (netip.AddrPort, <-chan int) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan int, 64)
	go func() {
		for number := 0; ; number++ {
			con, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- number
			script := scripts[min(number, len(scripts)-1)]
			go func() {
				defer func() { _ = con.Close() }()
				script(con, bufio.NewReader(con))
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort(), accepted
}

func readRequest(reader *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err == nil
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func echo(con net.Conn, reader *bufio.Reader) {
	for {
		req, ok := readRequest(reader)
		if !ok {
			return
		}
		_, _ = io.WriteString(con, answer(req.Header.Get("Id"), "whole"))
	}
}

func exchange(t *testing.T, pl *http1.Pool, address netip.AddrPort, id, body string) (http1.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTime)
	defer cancel()
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address.String(), Opaque: "/quotes/1?a=b"},
		Host: "quotes.example", Header: http.Header{"Id": {id}}, ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	return pl.Exchange(ctx, address, req, http1.Rules{
		BodyBytes: 1 << 20,
		Belongs:   func(res *http.Response, _ bool) bool { return res.Header.Get("Id") == id },
	})
}

func requireStage(t *testing.T, stage http1.Stage, err error) {
	t.Helper()
	var fai *http1.Failure
	require.ErrorAs(t, err, &fai)
	require.Equal(t, stage, fai.Stage, "%v", err)
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	address, accepted := serve(t, echo)
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	for number := range 3 {
		res, err := exchange(t, pl, address, fmt.Sprint(number), "")
		require.NoError(t, err)
		require.Equal(t, "whole", string(res.Body))
	}
	require.Len(t, accepted, 1)
}

// Guards against a pool that closes and opens connections all the time because its idle bound is below the variation of
// the concurrency.
func TestIdleConnectionsFollowTheConcurrency(t *testing.T) {
	const most, maxIdle, rounds = 12, 2, 5
	arrived, release := make(chan struct{}, most), make(chan struct{})
	address, accepted := serve(t, func(con net.Conn, reader *bufio.Reader) {
		for {
			req, ok := readRequest(reader)
			if !ok {
				return
			}
			arrived <- struct{}{}
			<-release
			_, _ = io.WriteString(con, answer(req.Header.Get("Id"), "whole"))
		}
	})
	pl := http1.NewPool(time.Second)
	pl.MaxIdle = maxIdle
	defer pl.Close()
	atOnce := func(count int) {
		errs := make(chan error, count)
		for range count {
			go func() {
				_, err := exchange(t, pl, address, "a", "")
				errs <- err
			}()
		}
		for range count {
			<-arrived
		}
		for range count {
			release <- struct{}{}
		}
		for range count {
			require.NoError(t, <-errs)
		}
	}
	for range rounds {
		atOnce(most)
		atOnce(1)
		pl.Sweep()
	}
	require.Len(t, accepted, most, "no connection is opened beyond the highest concurrency")
	for range 3 {
		pl.Sweep()
		atOnce(1)
	}
	atOnce(most)
	require.Len(t, accepted, most+most-maxIdle, "connections that were not needed lately are closed")
}

func TestAnAnswerWithoutRequestIsDiscarded(t *testing.T) {
	address, accepted := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, answer("first", "one")+answer("first", "again"))
		time.Sleep(testTime)
	}, echo)
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	res, err := exchange(t, pl, address, "first", "")
	require.NoError(t, err)
	require.Equal(t, "one", string(res.Body))
	res, err = exchange(t, pl, address, "second", "")
	require.NoError(t, err)
	require.Equal(t, "whole", string(res.Body))
	require.Len(t, accepted, 2, "a connection with bytes that belong to no request is not reused")
}

func TestALateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, answer("first", "one"))
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, answer("first", "late")+answer("second", "two"))
		time.Sleep(testTime)
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	_, err := exchange(t, pl, address, "first", "")
	require.NoError(t, err)
	res, err := exchange(t, pl, address, "second", "")
	require.NoError(t, err)
	require.Equal(t, "two", string(res.Body))
}

func TestATruncatedAnswerFails(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(con, text)
			})
			pl := http1.NewPool(time.Second)
			defer pl.Close()
			_, err := exchange(t, pl, address, "a", "")
			requireStage(t, http1.Reading, err)
		})
	}
}

func TestAResetAnswerWithoutLengthFails(t *testing.T) {
	address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
		// A reset discards what the client has not read yet. The pause lets it read the header first, so that it is the
		// reading of the body that fails.
		time.Sleep(50 * time.Millisecond)
		_ = con.(*net.TCPConn).SetLinger(0)
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	_, err := exchange(t, pl, address, "a", "")
	requireStage(t, http1.Reading, err)
}

// Guards against a part of an answer that is taken for the whole one: the reset of its connection was reported to the write
// of the request's body, and the read then ended without an error. Which of the two gets it varies from try to try.
func TestAnEarlyAnswerWithoutLengthThatIsResetFails(t *testing.T) {
	const tries = 30
	for name, test := range map[string]struct {
		bodyBytes int
		pause     time.Duration
	}{
		"short body":             {1 << 10, 0},
		"body of 100 kB":         {100 << 10, 0},
		"body of 2 MB":           {2 << 20, 0},
		"body of 5 MB":           {5 << 20, 0},
		"body of 5 MB, later":    {5 << 20, 20 * time.Millisecond},
		"body that is not taken": {20 << 20, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
				_, _ = http.ReadRequest(reader)
				_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf an answer")
				time.Sleep(test.pause)
				_ = con.(*net.TCPConn).SetLinger(0)
			})
			body := strings.Repeat("b", test.bodyBytes)
			for range tries {
				pl := http1.NewPool(time.Second)
				res, err := exchange(t, pl, address, "a", body)
				pl.Close()
				require.Error(t, err, "taken for complete: %q", res.Body)
			}
		})
	}
}

// Guards against an answer with an invalid status that is taken for an interim one, so that the caller waits for another
// answer until its deadline.
func TestAnAnswerWithAnInvalidStatusFailsAtOnce(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 020 OK", "HTTP/1.1 1000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 abc OK", "HTTP/1.1 2x0 OK",
		"HTTP/1.1 -20 OK", "HTTP/1.1  OK", "HTTP/1.1", "200 OK", "HTTP/ 200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		t.Run(line, func(t *testing.T) {
			address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(con, line+"\r\nId: a\r\nContent-Length: 4\r\n\r\nbody")
				_, _ = reader.ReadByte()
			})
			pl := http1.NewPool(time.Second)
			defer pl.Close()
			ctx, cancel := context.WithTimeout(t.Context(), testTime)
			defer cancel()
			req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address.String(), Path: "/"}, ProtoMajor: 1, ProtoMinor: 1}
			_, err := pl.Exchange(ctx, address, req, http1.Rules{BodyBytes: 1 << 20})
			requireStage(t, http1.Waiting, err)
			require.NoError(t, ctx.Err(), "the exchange ended before its deadline")
		})
	}
}

// Guards against a bound on interim answers that is below what a slow backend server sends.
func TestInterimAnswersAreSkipped(t *testing.T) {
	address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 50)+answer("a", "whole"))
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	res, err := exchange(t, pl, address, "a", "")
	require.NoError(t, err)
	require.Equal(t, "whole", string(res.Body))
}

func TestAMalformedAnswerFails(t *testing.T) {
	address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, "\x00\x01 nonsense\r\n\r\n")
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	_, err := exchange(t, pl, address, "a", "")
	requireStage(t, http1.Waiting, err)
}

func TestTheBodyIsStillSentAfterAnEarlyAnswer(t *testing.T) {
	body := strings.Repeat("b", 1<<20)
	lengths := make(chan int64, 2)
	address, accepted := serve(t, func(con net.Conn, reader *bufio.Reader) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(con, answer(req.Header.Get("Id"), "early"))
			time.Sleep(100 * time.Millisecond)
			length, _ := io.Copy(io.Discard, req.Body)
			lengths <- length
		}
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	for _, id := range []string{"a", "b"} {
		res, err := exchange(t, pl, address, id, body)
		require.NoError(t, err)
		require.Equal(t, "early", string(res.Body))
		require.Equal(t, int64(len(body)), <-lengths)
	}
	require.Len(t, accepted, 1)
}

func TestAReopenedConnectionServesTheNextExchange(t *testing.T) {
	address, accepted := serve(t, echo)
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	_, err := exchange(t, pl, address, "a", "")
	require.NoError(t, err)
	pl.CloseIdle()
	require.False(t, pl.Reopen(t.Context(), address))
	require.Eventually(t, func() bool { return len(accepted) == 2 }, testTime, time.Millisecond)
	_, err = exchange(t, pl, address, "b", "")
	require.NoError(t, err)
	require.Len(t, accepted, 2)
}

func TestARefusedConnectionFailsBeforeAnythingIsSent(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, listener.Close())
	pl := http1.NewPool(time.Second)
	_, err = exchange(t, pl, address, "a", "")
	requireStage(t, http1.Connecting, err)
	var fai *http1.Failure
	require.ErrorAs(t, err, &fai)
	require.True(t, fai.Refused)
	require.True(t, pl.Reopen(t.Context(), address))
}

func TestACancelledExchangeClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	pl := http1.NewPool(time.Second)
	defer pl.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address.String(), Opaque: "/"}, Header: http.Header{}}
	_, err := pl.Exchange(ctx, address, req, http1.Rules{BodyBytes: 1, Belongs: func(*http.Response, bool) bool { return true }})
	require.True(t, errors.Is(err, context.DeadlineExceeded) || err != nil)
	select {
	case <-closed:
	case <-time.After(testTime):
		t.Fatal("the backend server's connection is still open")
	}
}

// writeWithoutEnd writes a text and then a filler again and again, until the connection breaks or maxWritten bytes are
// written; it reports how many were. The client must have closed the connection long before.
func writeWithoutEnd(con net.Conn, text, filler string, written *atomic.Int64) {
	const maxWritten = 64 << 20
	block := []byte(strings.Repeat(filler, 16<<10/len(filler)+1))
	count, err := io.WriteString(con, text)
	for err == nil && written.Add(int64(count)) < maxWritten {
		count, err = con.Write(block)
	}
	if err == nil {
		time.Sleep(testTime)
	}
}

// Guards against an answer without end that takes up the memory of the process until its caller gives up.
func TestAnAnswerWithoutEndIsGivenUp(t *testing.T) {
	const unsized = 1 << 20
	for name, test := range map[string]struct{ text, filler string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"field":           {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"fields":          {"HTTP/1.1 200 OK\r\n", "Id: a\r\n"},
		"continued field": {"HTTP/1.1 200 OK\r\nId: a\r\n", " x\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim fields":  {"HTTP/1.1 102 Processing\r\n", "Id: a\r\n"},
		"other answers":   {"", "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 0\r\n\r\n"},
		"no answer":       {"", "\x00\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
		"chunks":          {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n"},
		"chunk extension": {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		"trailers":        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Id: a\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				writeWithoutEnd(con, test.text, test.filler, &written)
			})
			pl := http1.NewPool(time.Second)
			pl.Room = room.New(unsized)
			defer pl.Close()
			began := time.Now()
			_, err := exchange(t, pl, address, "a", "")
			require.Error(t, err)
			require.Less(t, time.Since(began), testTime/2)
			require.Less(t, written.Load(), int64(16<<20), "the rest of it waits in the buffers of the sockets")
		})
	}
}

// Guards against the memory that long answers take together, be their length stated or not.
func TestLongAnswersShareTheirRoom(t *testing.T) {
	for name, head := range map[string]string{
		"unknown length": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
		"stated length":  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1048576\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { testLongAnswers(t, head) })
	}
}

// testLongAnswers lets callers read answers with the head at the same time, each a megabyte long, of which the
// last byte is sent once one of them has failed.
func testLongAnswers(t *testing.T, head string) {
	const unsized, callers = 3 << 20, 8
	body := strings.Repeat("b", 1<<20-1)
	release := make(chan struct{})
	address, _ := serve(t, func(con net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(con, head+body)
		<-release
		_, _ = io.WriteString(con, "b")
	})
	pl := http1.NewPool(time.Second)
	pl.Room = room.New(unsized)
	defer pl.Close()
	errs := make(chan error, callers)
	for range callers {
		go func() {
			_, err := exchange(t, pl, address, "a", "")
			errs <- err
		}()
	}
	require.Error(t, <-errs, "there is no room for all")
	close(release)
	failed := 1
	for range callers - 1 {
		if <-errs != nil {
			failed++
		}
	}
	require.Less(t, failed, callers)
	_, err := exchange(t, pl, address, "a", "")
	require.NoError(t, err, "the room is free again")
}
