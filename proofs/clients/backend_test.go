package clients_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"flamingoreach/platform/standin"
)

// patternPeriod is the period of the bytes of all bodies. It is no divisor of a buffer's size, so that a missing or repeated
// part of a body shows.
const patternPeriod = 251

var errWrongBytes = errors.New("the body has other bytes than were sent")

// pattern is an io.Reader of the bytes of a body; it ends after the given number, or never if that is negative.
type pattern struct{ offset, length int64 }

func (pat *pattern) Read(into []byte) (int, error) {
	if pat.length >= 0 {
		into = into[:min(int64(len(into)), pat.length-pat.offset)]
	}
	if len(into) == 0 {
		return 0, io.EOF
	}
	for index := range into {
		into[index] = byte((pat.offset + int64(index)) % patternPeriod)
	}
	pat.offset += int64(len(into))
	return len(into), nil
}

// readPattern reads a body to its end and checks its bytes.
func readPattern(body io.Reader) (length int64, err error) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := body.Read(buffer)
		for index, found := range buffer[:count] {
			if found != byte((length+int64(index))%patternPeriod) {
				return length, errWrongBytes
			}
		}
		length += int64(count)
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// backend is a backend server that answers with as many bytes as the query's parameter bytes says, without a length if it is
// negative, and without end then. It reads the body of each request first, and waits as long as the parameter wait says.
type backend struct {
	*standin.BackendServer
	executed, running atomic.Int64
	// received is the length of the last body that was received whole.
	received atomic.Int64
}

func (bac *backend) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.Header.Get("Expect-Instance") != bac.ID() {
		bac.BackendServer.ServeHTTP(wri, req)
		return
	}
	bac.executed.Add(1)
	bac.running.Add(1)
	defer bac.running.Add(-1)
	length, err := readPattern(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if req.ContentLength != 0 {
		bac.received.Store(length)
	}
	delay, _ := time.ParseDuration(req.URL.Query().Get("wait"))
	time.Sleep(delay)
	answer, _ := strconv.ParseInt(req.URL.Query().Get("bytes"), 10, 64)
	wri.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	wri.Header().Set("Response-Signature", "signed")
	if answer >= 0 {
		wri.Header().Set("Content-Length", fmt.Sprint(answer))
	}
	_, _ = io.Copy(wri, &pattern{length: answer})
}
