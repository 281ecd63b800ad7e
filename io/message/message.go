package message

import (
	"net/http"
	"strings"
)

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
}

// Size returns the bytes of the body, the target and the header.
func (msg *Message) Size() int {
	size := len(msg.Body) + len(msg.Target)
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
