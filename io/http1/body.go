package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"flamingoreach/io/room"
)

const (
	// maxPooledBufferBytes bounds the buffers that are kept for reuse.
	maxPooledBufferBytes = 64 << 10
	// roomStepBytes is the step in which a body of unknown length takes room. A body that is known to be shorter takes none.
	roomStepBytes = 64 << 10
)

var errNoRoom = errors.New("there is no room for the body")

// buffers holds buffers for bodies of unknown length.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody reads a body of at most bound bytes, or bound+1 bytes of a longer one.
func readBody(res *http.Response, bound int64, roo *room.Room) ([]byte, error) {
	if res.ContentLength >= 0 && res.ContentLength <= bound {
		return readSized(res.Body, res.ContentLength, roo)
	}
	buf := buffers.Get().(*bytes.Buffer)
	err := readUnsized(buf, io.LimitReader(res.Body, bound+1), roo)
	if buf.Cap() > maxPooledBufferBytes {
		return buf.Bytes(), err
	}
	body := bytes.Clone(buf.Bytes())
	buf.Reset()
	buffers.Put(buf)
	return body, err
}

// readBeginning reads a body of at most the given number of bytes, or returns a reader of a longer one. The longest part that
// it holds of one of unknown length is as long.
func readBeginning(res *http.Response, bytesRead int64) (whole []byte, long io.Reader, err error) {
	if res.ContentLength > bytesRead {
		return nil, res.Body, nil
	}
	if res.ContentLength >= 0 {
		whole, err = readSized(res.Body, res.ContentLength, nil)
		return whole, nil, err
	}
	whole, err = io.ReadAll(io.LimitReader(res.Body, bytesRead+1))
	if err != nil || int64(len(whole)) <= bytesRead {
		return whole, nil, err
	}
	return nil, io.MultiReader(bytes.NewReader(whole), res.Body), nil
}

// unframedBody is a body that only the end of the connection ends. If that is a reset, the kernel may report it to the
// goroutine that sends the request, and the body seems complete.
type unframedBody struct {
	io.Reader
	sen *sending
}

// Read fails at the end of the body if the request could not be sent.
func (unf *unframedBody) Read(into []byte) (int, error) {
	count, err := unf.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		if <-unf.sen.ended; unf.sen.err != nil {
			err = errRequestReset
		}
	}
	return count, err
}

// readSized reads a body of the stated length; it fails if there is no room for a long one.
func readSized(body io.Reader, length int64, roo *room.Room) ([]byte, error) {
	if length > roomStepBytes {
		if !roo.Take(length) {
			return nil, errNoRoom
		}
		defer roo.GiveBack(length)
	}
	whole := make([]byte, length)
	_, err := io.ReadFull(body, whole)
	return whole, err
}

// readUnsized reads a body of unknown length; it fails if there is no room for it.
func readUnsized(buf *bytes.Buffer, body io.Reader, roo *room.Room) error {
	taken := int64(0)
	defer func() { roo.GiveBack(taken) }()
	for {
		if !roo.Take(roomStepBytes) {
			return errNoRoom
		}
		taken += roomStepBytes
		if _, err := io.CopyN(buf, body, roomStepBytes); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}
