package peer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1"
	"flamingoreach/io/room"
)

const (
	// wholeCallBytes is the length up to which the body of a call is held whole; a longer one is read as it is passed on.
	wholeCallBytes = 1 << 20
	// answerGrace is the time after the deadline of a call within which its answer may still be written.
	answerGrace = 50 * time.Millisecond
	// callsKind is the kind under which calls of other nodes take room.
	callsKind = "calls"
)

// serveStream runs a call that comes with a head and a body.
func (ser *Server) serveStream(wri http.ResponseWriter, htr *http.Request) {
	var head callv1.RunRequest
	headLength, err := readHead(htr.Body, &head)
	if err != nil || htr.ContentLength < headLength {
		http.Error(wri, "the head of the call is not valid", http.StatusBadRequest)
		return
	}
	cal, msg, err := decodeRequest(&head)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(htr.Context(), cal.Deadline)
	defer cancel()
	str := &serverStream{wri: wri, control: http.NewResponseController(wri), body: htr.Body}
	defer str.close()
	if err := str.bound(cal.Deadline); err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	hol := ser.Bodies.Open(callsKind)
	defer hol.Close()
	if status := str.readBody(ctx, &msg, htr.ContentLength-headLength, hol); status != 0 {
		wri.Header().Set("Connection", "close")
		wri.WriteHeader(status)
		return
	}
	msg.Deliver = str.deliver
	ans, reply := ser.RunCall(ctx, cal, msg)
	if str.begun {
		return
	}
	hol.Force(int64(len(reply.Body)))
	str.answer(ans, reply)
}

// serverStream is the body of a call and the answer to it.
type serverStream struct {
	wri     http.ResponseWriter
	control *http.ResponseController
	body    io.Reader
	// unread is set while the call itself has to read the body, and not at its end.
	unread atomic.Bool
	// begun is set once the head of a long answer is sent, and cut if the rest could not be sent.
	begun, cut bool
}

// bound bounds the time to read the body and to write the answer.
func (str *serverStream) bound(deadline time.Time) error {
	if err := str.control.SetReadDeadline(deadline); err != nil {
		return err
	}
	return str.control.SetWriteDeadline(deadline.Add(answerGrace))
}

// close ends the connection within an answer that is cut, and otherwise the bounds.
func (str *serverStream) close() {
	if str.cut {
		panic(http.ErrAbortHandler)
	}
	_ = str.control.SetWriteDeadline(time.Time{})
}

// readBody reads a body or leaves a long one to the call. It returns a status if the call must not run.
func (str *serverStream) readBody(ctx context.Context, msg *message.Message, length int64, hol *room.Holder) (status int) {
	if length > wholeCallBytes {
		str.unread.Store(true)
		msg.Length = length
		msg.Open = func() io.ReadCloser { return str }
		return 0
	}
	if length > freeCallBytes {
		ctx, cancel := context.WithTimeout(ctx, longestRoomWait)
		defer cancel()
		if hol.Await(ctx, length) != nil {
			return http.StatusTooManyRequests
		}
	}
	msg.Body = make([]byte, length)
	if _, err := io.ReadFull(str.body, msg.Body); err != nil {
		return http.StatusBadRequest
	}
	_ = str.control.SetReadDeadline(time.Time{})
	return 0
}

// Read reads the body of a call.
func (str *serverStream) Read(into []byte) (int, error) {
	count, err := str.body.Read(into)
	if errors.Is(err, io.EOF) {
		str.unread.Store(false)
	}
	return count, err
}

// Close ends a Read that waits.
func (str *serverStream) Close() error {
	if !str.unread.Load() {
		return nil
	}
	return str.control.SetReadDeadline(time.Unix(1, 0))
}

// deliver passes on a long answer. It is a message.Deliver.
func (str *serverStream) deliver(_ context.Context, ans answer.Answer, reply message.Message, body io.Reader) error {
	length := reply.Length
	reply.Length = 0
	head, err := appendHead(encodeResponse(ans, reply))
	if err != nil {
		return err
	}
	str.begun = true
	str.writeHead(head, length)
	if _, err := io.Copy(str.wri, body); err != nil {
		str.cut = true
		return message.ErrCut
	}
	return nil
}

// answer sends a short answer or a refusal.
func (str *serverStream) answer(ans answer.Answer, reply message.Message) {
	body := reply.Body
	reply.Body = nil
	head, err := appendHead(encodeResponse(ans, reply))
	if err != nil {
		str.cut = true
		return
	}
	if str.unread.Load() {
		str.wri.Header().Set("Connection", "close")
	}
	str.writeHead(head, int64(len(body)))
	_, _ = str.wri.Write(body)
}

// writeHead writes the head of an answer with a body of the given length, or of unknown length if that is negative.
func (str *serverStream) writeHead(head []byte, length int64) {
	str.wri.Header()["Content-Type"] = []string{"application/octet-stream"}
	if length >= 0 {
		str.wri.Header().Set("Content-Length", strconv.FormatInt(length+int64(len(head)), 10))
	}
	_, _ = str.wri.Write(head)
}
