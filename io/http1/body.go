package http1

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// keptBufferBytes bounds the buffers that are kept for the next body.
const keptBufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody reads a body, or one byte more than its bound. Its buffer has its size from the start where that is known;
// a body in chunks grows in a buffer that is used again.
func readBody(res *http.Response, bound int64) ([]byte, error) {
	if res.ContentLength >= 0 && res.ContentLength <= bound {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	buf := buffers.Get().(*bytes.Buffer)
	_, err := buf.ReadFrom(io.LimitReader(res.Body, bound+1))
	body := bytes.Clone(buf.Bytes())
	if buf.Cap() <= keptBufferBytes {
		buf.Reset()
		buffers.Put(buf)
	}
	return body, err
}
