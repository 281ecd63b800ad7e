package message

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"flamingoreach/core/answer"
)

const (
	// WholeAnswerBytes is the length up to which an answer is held whole; a longer one is passed on as it arrives.
	WholeAnswerBytes = 64 << 10
	// ErrorBytes bounds the body of an answer that may not be passed on, because the call may be retried.
	ErrorBytes = 1 << 20
)

// ErrCut says that the head of a long answer was passed on, but not its whole body.
var ErrCut = errors.New("the answer is cut")

var errTooLong = errors.New("the body is longer than the bound")

// Message is a complete request or answer with the header fields that may be forwarded.
type Message struct {
	Method string
	// Host is the value of the Host header field; if it is empty, the receiver's address is used.
	Host string
	// Target is the path with the query.
	Target string
	// Status is zero in requests.
	Status int
	Header http.Header
	Body   []byte
	// Open is set instead of Body if the body is long. It returns a reader of the body from its start; closing it ends a
	// Read that waits. Length is the length of such a body, or negative if it is unknown.
	Open   func() io.ReadCloser
	Length int64
	// Deliver, in a request, takes an answer whose body is too long to be held whole at each step, and reads the body to its
	// end. It fails with ErrCut if the head was passed on before it failed. Without it, such answers are held whole.
	Deliver Deliver
	// Delivered, in an answer, says that Deliver has passed on its head.
	Delivered bool
}

// Deliver takes a long answer, without Body, and its body.
type Deliver func(ctx context.Context, ans answer.Answer, reply Message, body io.Reader) error

// ReadWhole reads a body of at most the given number of bytes, and fails if it is longer.
func ReadWhole(body io.Reader, bytes int64) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(body, bytes+1))
	if err == nil && int64(len(whole)) > bytes {
		err = errTooLong
	}
	return whole, err
}

// Size returns the bytes of the body, the target and the header.
func (msg *Message) Size() int {
	size := len(msg.Body) + len(msg.Target) + max(int(msg.Length), 0)
	for name, values := range msg.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Prefix starts the names of all header fields of this system.
const Prefix = "Flamingoreach-"

// Header fields that this system reads or sets.
const (
	CallID = Prefix + "Call-Id"
	// CallHandle holds the name under which the node keeps a running call. The node sends it to the backend server,
	// which sends it back with the deeper calls that it makes for that call.
	CallHandle = Prefix + "Call"
	// Deadline holds a point in time in the form of RFC 3339, Timeout a duration such as 1.5s.
	Deadline      = Prefix + "Deadline"
	Timeout       = Prefix + "Timeout"
	Outcome       = Prefix + "Outcome"
	Reason        = Prefix + "Reason"
	Idempotency   = "Idempotency-Key"
	Authorization = "Authorization"
)

// notForwarded holds the hop-by-hop fields, the fields that may carry a credential, and Content-Length and Expect, which
// net/http handles on each connection.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	Authorization: true, "Content-Length": true, "Expect": true, "X-Api-Key": true,
}

// EndToEnd returns the fields that may be forwarded: none in notForwarded, none that a Connection field names, and none
// whose name starts with Prefix.
func EndToEnd(header http.Header) http.Header {
	hopByHop := map[string]bool{}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if notForwarded[name] || hopByHop[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}
