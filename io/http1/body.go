package http1

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxPooledBufferBytes bounds the buffers that are kept for reuse.
	maxPooledBufferBytes = 64 << 10
	// roomStepBytes is the step in which a body of unknown length takes room.
	roomStepBytes = 64 << 10
)

var errNoRoom = errors.New("there is no room for a body of unknown length")

// buffers holds buffers for bodies of unknown length.
var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// room bounds the bytes that several bodies take together.
type room struct {
	// max is the bound, or 0 for none.
	max  int64
	used atomic.Int64
}

// take reports whether there was room for a number of bytes, and takes it.
func (roo *room) take(count int64) bool {
	if roo.used.Add(count) <= roo.max || roo.max == 0 {
		return true
	}
	roo.used.Add(-count)
	return false
}

func (roo *room) giveBack(count int64) { roo.used.Add(-count) }

// readBody reads a body of at most bound bytes, or bound+1 bytes of a longer one.
func readBody(res *http.Response, bound int64, roo *room) ([]byte, error) {
	if res.ContentLength >= 0 && res.ContentLength <= bound {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
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

// readUnsized reads a body of unknown length; it fails if there is no room for it.
func readUnsized(buf *bytes.Buffer, body io.Reader, roo *room) error {
	taken := int64(0)
	defer func() { roo.giveBack(taken) }()
	for {
		if !roo.take(roomStepBytes) {
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
