package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// begin begins the turn of a request. It returns the request as it was run ahead, or nil if it was not, and whether its answer
// ends the connection. After a stop, that is the answer behind which no request runs: a request that runs may have been
// passed on, so its caller must not be told that it was not.
func (con *Connection) begin(req *http.Request) (ear *early, closing bool) {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.current, con.alone, con.known = req, false, false
	if len(con.ahead) > 0 {
		if same(req, con.ahead[0].req) {
			ear, con.ahead = con.ahead[0], con.ahead[1:]
		} else {
			con.paused = true
			con.cancelAhead("the requests do not match")
		}
	}
	con.closing = req.Close || con.pip.stopped.Load() && len(con.ahead) == 0
	con.startWaiting()
	return ear, con.closing
}

// finish ends the turn of a request.
func (con *Connection) finish() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.current, con.finished = nil, true
}

// pause makes all requests that were read wait for their turns.
func (con *Connection) pause() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.paused = true
}

// readAt returns when the request whose turn it is was read, or zero if it did not wait.
func (con *Connection) readAt() time.Time {
	con.mut.Lock()
	defer con.mut.Unlock()
	if con.current == nil || len(con.requests) == 0 {
		return time.Time{}
	}
	return con.requests[0].readAt
}

func (con *Connection) startAhead() {
	con.mut.Lock()
	defer con.mut.Unlock()
	con.startWaiting()
}

// startWaiting starts the requests behind the current one, up to the first that must wait.
func (con *Connection) startWaiting() {
	if con.current == nil || con.closing || con.paused || con.failed != nil || len(con.requests) < 2 {
		return
	}
	if !con.known {
		con.known, con.alone = true, con.current.ContentLength != 0 || !con.pip.MayRunAhead(con.current)
	}
	for !con.alone && len(con.ahead) < maxRequests-1 && len(con.requests) > 1+len(con.ahead) {
		if last := len(con.ahead) - 1; last >= 0 && con.ahead[last].req.Close {
			return
		}
		// Behind most requests, net/http takes an empty line for a malformed head.
		next := 1 + len(con.ahead)
		if con.requests[next].begin != con.requests[next-1].end {
			return
		}
		ear := con.start(&con.requests[next])
		if ear == nil {
			return
		}
		con.ahead = append(con.ahead, ear)
	}
}

// start starts a request ahead; it returns nil if the request must wait.
func (con *Connection) start(bou *boundary) *early {
	end := con.bufferAt + int64(len(con.buffer))
	if bou.waits || bou.headEnd == 0 || bou.headEnd > end || bou.begin < con.bufferAt {
		return nil
	}
	bou.waits = true
	if bou.end != bou.headEnd || bou.headEnd-bou.begin > aheadBytes {
		return nil
	}
	head := con.buffer[bou.begin-con.bufferAt : bou.headEnd-con.bufferAt]
	req, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || !wellFormed(req) || !con.pip.MayRunAhead(req) {
		return nil
	}
	bou.waits = false
	req.RemoteAddr = con.RemoteAddr().String()
	return con.pip.start(context.WithValue(con.newContext(), contextKey{}, bou.readAt), req)
}

// wellFormed reports whether net/http passes a request to its handler and reads the next one behind its head. In case of
// doubt it does not, and the request waits for net/http to decide.
func wellFormed(req *http.Request) bool {
	if req.ProtoMajor != 1 || req.ProtoMinor != 1 || req.ContentLength != 0 || req.URL.Host != "" || req.Host == "" ||
		!httpguts.ValidHostHeader(req.Host) || req.Header.Get("Expect") != "" || req.Header.Get("Upgrade") != "" {
		return false
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}
