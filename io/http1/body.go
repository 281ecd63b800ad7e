package http1

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// maxPooledBufferBytes is the capacity of the largest buffer that returns to the pool.
const maxPooledBufferBytes = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readBody reads a body, up to one byte more than its bound. A body of known length is read into a buffer of that
// length; a chunked body is read into a pooled buffer that grows, and copied.
func readBody(res *http.Response, bound int64) ([]byte, error) {
	if res.ContentLength >= 0 && res.ContentLength <= bound {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	buf := buffers.Get().(*bytes.Buffer)
	_, err := buf.ReadFrom(io.LimitReader(res.Body, bound+1))
	body := bytes.Clone(buf.Bytes())
	if buf.Cap() <= maxPooledBufferBytes {
		buf.Reset()
		buffers.Put(buf)
	}
	return body, err
}
