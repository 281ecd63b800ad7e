package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"flamingoreach/io/room"
	"flamingoreach/io/tcpoptions"
)

const (
	// bufferBytes is enough for most headers; bodies bypass the buffer.
	bufferBytes = 4096
	// maxSynchronousBodyBytes is the length of the longest body that is written completely before the answer is read.
	maxSynchronousBodyBytes = 16 << 10
	// idleTime is how long a connection may be idle if its last answer states no Keep-Alive timeout. idleMargin is
	// subtracted from a stated timeout, because a close by the other end takes a while to arrive.
	idleTime   = 5 * time.Second
	idleMargin = 500 * time.Millisecond
	// headBytes bounds the heads of all answers that are read for one request. The part of a body or of its framing that is
	// in the connection's buffer by then counts too.
	headBytes = 64 << 10
	// maxAnswersPerRequest bounds the answers that are read for one request, with those to earlier requests. Interim ones
	// (1xx) are bounded by headBytes.
	maxAnswersPerRequest = 4
	// lowestStatus is the lowest status code that HTTP defines. net/http accepts any three digits.
	lowestStatus = 100
)

// The texts of these errors are sent on to the node that asked for a relayed probe (see peer.Ask).
var (
	errAnswerTooLong    = errors.New("the answer is longer than the bound")
	errHeadTooLong      = errors.New("the heads of the answers are longer than the bound")
	errNoMatchingAnswer = errors.New("too many answers belong to other requests")
	errInvalidStatus    = errors.New("the answer has an invalid status")
	errRequestReset     = errors.New("the connection was reset before the answer was known to be complete")
)

// connection is one HTTP/1.1 connection.
type connection struct {
	net.Conn

	// head bounds what the reader reads while it looks for the end of a head.
	head   *headLimit
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is the time from which an idle connection must not be used again.
	idleUntil time.Time
	// used is set once an exchange has ended.
	used bool
	// room is shared by the connections of a pool.
	room *room.Room
}

// headLimit is a reader that fails while on is set and no bytes are left.
type headLimit struct {
	io.Reader

	on   bool
	left int
}

// Read reads at most the bytes that are left.
func (lim *headLimit) Read(into []byte) (int, error) {
	if !lim.on {
		return lim.Reader.Read(into)
	}
	if lim.left == 0 {
		return 0, errHeadTooLong
	}
	count, err := lim.Reader.Read(into[:min(len(into), lim.left)])
	lim.left -= count
	return count, err
}

func newConnection(con net.Conn, roo *room.Room) *connection {
	lim := &headLimit{Reader: con}
	return &connection{Conn: con, room: roo, head: lim, reader: bufio.NewReaderSize(lim, bufferBytes), writer: bufio.NewWriterSize(con, bufferBytes)}
}

// usable reports whether an idle connection may carry another request: its idle time has not passed, and the other end
// has neither closed it nor sent bytes, which would belong to no request.
func (con *connection) usable() bool {
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
	sen := con.send(req)
	if sen.synchronous && sen.err != nil {
		return Response{}, false, &Failure{Stage: Waiting, Cause: sen.err}
	}
	rec, err := con.receive(req, rul, sen)
	con.used = true
	if err != nil {
		con.abort(sen)
		return rec.Response, false, err
	}
	if rec.unframed || rec.keepAlive {
		<-sen.ended
	} else {
		con.abort(sen)
	}
	if sen.err != nil && rec.unframed {
		// The kernel reports a reset once, here to the write. The read then ends as if the answer were complete.
		return Response{}, false, &Failure{Stage: Reading, Cause: errRequestReset}
	}
	rec.keepAlive = rec.keepAlive && sen.err == nil
	return rec.Response, rec.keepAlive && stop() && con.reader.Buffered() == 0, nil
}

// abort ends the sending of a request, whose body is then not read any more.
func (con *connection) abort(sen *sending) {
	select {
	case <-sen.ended:
		return
	default:
	}
	_ = con.SetDeadline(time.Unix(1, 0))
	_ = sen.body.Close()
	<-sen.ended
}

// received is the answer to a request.
type received struct {
	Response

	// keepAlive says that the other end keeps the connection open.
	keepAlive bool
	// unframed says that only the end of the connection tells the end of the body.
	unframed bool
}

// sending is a request that is being sent.
type sending struct {
	synchronous bool
	body        io.Closer
	// ended is closed when the request was sent, or could not be because of err.
	ended chan struct{}
	err   error
}

// send writes a short request before it returns. It writes a long one on another goroutine, because the answer may come
// before the request is written completely.
func (con *connection) send(req *http.Request) *sending {
	if req.ContentLength <= maxSynchronousBodyBytes {
		return &sending{synchronous: true, ended: alreadyEnded, err: con.write(req)}
	}
	sen := &sending{body: req.Body, ended: make(chan struct{})}
	go func() {
		defer close(sen.ended)
		sen.err = con.write(req)
	}()
	return sen
}

// alreadyEnded is closed.
var alreadyEnded = func() chan struct{} {
	ended := make(chan struct{})
	close(ended)
	return ended
}()

// write sends a request through the connection's buffer; net/http would otherwise allocate one for each request.
func (con *connection) write(req *http.Request) error {
	if err := req.Write(con.writer); err != nil {
		return err
	}
	return con.writer.Flush()
}

// receive reads answers until it finds the one that belongs to the request.
func (con *connection) receive(req *http.Request, rul Rules, sen *sending) (received, error) {
	con.head.left = headBytes
	for range maxAnswersPerRequest {
		htr, err := con.readFinalHead(req)
		if err != nil {
			return received{}, &Failure{Stage: Waiting, Cause: err}
		}
		belongs := rul.Belongs == nil || rul.Belongs(htr, !con.used)
		if belongs && rul.Deliver != nil {
			return con.receiveOrDeliver(htr, rul, sen)
		}
		body, err := readBody(htr, rul.BodyBytes, con.room)
		switch {
		case err != nil:
			return received{}, &Failure{Stage: Reading, Cause: err}
		case int64(len(body)) > rul.BodyBytes:
			return received{}, &Failure{Stage: Reading, Cause: errAnswerTooLong}
		}
		// Only a body that was read to its end is closed: Close reads the rest of it, which may be without end.
		_ = htr.Body.Close()
		if !belongs {
			if htr.Close {
				return received{}, &Failure{Stage: Waiting, Cause: errNoMatchingAnswer}
			}
			continue
		}
		return con.answered(htr, body), nil
	}
	return received{}, &Failure{Stage: Waiting, Cause: errNoMatchingAnswer}
}

func (con *connection) answered(htr *http.Response, body []byte) received {
	con.idleUntil = time.Now().Add(idleFor(htr.Header))
	return received{
		Response:  Response{Status: htr.StatusCode, Header: htr.Header, Body: body},
		keepAlive: !htr.Close, unframed: isUnframed(htr),
	}
}

// receiveOrDeliver reads the body of an answer, or passes a long one to Rules.Deliver.
func (con *connection) receiveOrDeliver(htr *http.Response, rul Rules, sen *sending) (received, error) {
	body, rest, err := readBeginning(htr, rul.WholeBytes)
	if err != nil {
		return received{}, &Failure{Stage: Reading, Cause: err}
	}
	rec := con.answered(htr, body)
	if rest == nil {
		_ = htr.Body.Close()
		return rec, nil
	}
	if rec.unframed {
		rest = &unframedBody{Reader: rest, sen: sen}
	}
	rec.Body, rec.Delivered = nil, true
	if err := rul.Deliver(rec.Response, htr.ContentLength, rest); err != nil {
		return rec, &Failure{Stage: Reading, Cause: err}
	}
	_ = htr.Body.Close()
	return rec, nil
}

// readFinalHead reads the head of an answer, after those of interim answers.
func (con *connection) readFinalHead(req *http.Request) (*http.Response, error) {
	con.head.on = true
	defer func() { con.head.on = false }()
	for {
		htr, err := http.ReadResponse(con.reader, req)
		switch {
		case err != nil:
			return nil, err
		case htr.StatusCode < lowestStatus, htr.StatusCode == http.StatusSwitchingProtocols:
			// No request asks for another protocol.
			return nil, errInvalidStatus
		case htr.StatusCode >= http.StatusOK:
			return htr, nil
		}
	}
}

// isUnframed reports whether only the end of the connection tells the end of an answer's body.
func isUnframed(htr *http.Response) bool {
	return htr.ContentLength < 0 && len(htr.TransferEncoding) == 0
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
