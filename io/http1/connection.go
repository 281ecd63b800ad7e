package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"flamingoreach/io/tcpoptions"
)

const (
	// bufferBytes holds most heads; bodies go past the buffer.
	bufferBytes = 4096
	// wholeBytes is the size of a body up to which a request is written before its answer is looked for.
	wholeBytes = 16 << 10
	// idleTime is how long a connection may be idle whose answers do not say so, and idleMargin is taken off what they
	// say, as an end on the other side takes a while to arrive.
	idleTime   = 5 * time.Second
	idleMargin = 500 * time.Millisecond
	// maxStrays bounds the answers to earlier requests that are skipped on one connection.
	maxStrays = 4
)

var (
	errAnswerTooLong = errors.New("the answer is longer than the bound")
	errStrays        = errors.New("too many answers belong to other requests")
)

// connection is one TCP connection.
type connection struct {
	net.Conn

	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is when it must not be used any more.
	idleUntil time.Time
}

func newConnection(con net.Conn) *connection {
	return &connection{Conn: con, reader: bufio.NewReaderSize(con, bufferBytes), writer: bufio.NewWriterSize(con, bufferBytes)}
}

// sound reports whether an idle connection has neither ended nor received bytes, which would belong to no request.
func (con *connection) sound() bool {
	if con.reader.Buffered() > 0 || !time.Now().Before(con.idleUntil) {
		return false
	}
	tcp, ok := con.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	_, err := tcpoptions.Peek(tcp)
	return errors.Is(err, unix.EAGAIN)
}

// exchange sends a request and reads its answer; the connection must not be used again unless reusable is true.
func (con *connection) exchange(ctx context.Context, req *http.Request, rul Rules) (res Response, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = con.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	written, err := con.send(req)
	if err != nil && written == nil {
		return Response{}, false, &Failure{Stage: Waiting, Cause: err}
	}
	res, keep, err := con.receive(req, rul)
	if err != nil {
		return Response{}, false, err
	}
	if written != nil && <-written != nil {
		keep = false
	}
	return res, keep && stop() && con.reader.Buffered() == 0, nil
}

// send writes a short request at once, and a long one beside the reading of its answer, which may come early; the
// channel then yields the end of the writing.
func (con *connection) send(req *http.Request) (<-chan error, error) {
	if req.ContentLength <= wholeBytes {
		return nil, con.write(req)
	}
	written := make(chan error, 1)
	go func() { written <- con.write(req) }()
	return written, nil
}

// write sends a request through the connection's buffer, which the library would make anew for each.
func (con *connection) write(req *http.Request) error {
	if err := req.Write(con.writer); err != nil {
		return err
	}
	return con.writer.Flush()
}

// receive reads answers until it finds the one that belongs to the request.
func (con *connection) receive(req *http.Request, rul Rules) (Response, bool, error) {
	for range maxStrays {
		htr, err := http.ReadResponse(con.reader, req)
		if err != nil {
			return Response{}, false, &Failure{Stage: Waiting, Cause: err}
		}
		if htr.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(htr, rul.BodyBytes)
		_ = htr.Body.Close()
		switch {
		case err != nil:
			return Response{}, false, &Failure{Stage: Reading, Cause: err}
		case int64(len(body)) > rul.BodyBytes:
			return Response{}, false, &Failure{Stage: Reading, Cause: errAnswerTooLong}
		case rul.Belongs != nil && !rul.Belongs(htr):
			if htr.Close {
				return Response{}, false, &Failure{Stage: Waiting, Cause: errStrays}
			}
			continue
		}
		con.idleUntil = time.Now().Add(idleFor(htr.Header))
		return Response{Status: htr.StatusCode, Header: htr.Header, Body: body}, !htr.Close, nil
	}
	return Response{}, false, &Failure{Stage: Waiting, Cause: errStrays}
}

// idleFor returns how long a connection may be idle after an answer.
func idleFor(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleTime
}
