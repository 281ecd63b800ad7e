package standinbackendserver

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"flamingoreach/io/message"
	"flamingoreach/io/standinbackendserver/record"
)

// makeDeeperCalls makes the deeper calls of a request one after the other, up to the first that fails; it returns their
// statuses and the status with which to answer the request.
func (bas *BackendServer) makeDeeperCalls(ctx context.Context, htr *http.Request, opt requestOptions, body []byte) ([]int, int) {
	var statuses []int
	for _, target := range opt.deeper {
		status := http.StatusBadGateway
		for attempt := 0; attempt < opt.attempts && status != http.StatusOK && ctx.Err() == nil; attempt++ {
			status = bas.attemptDeeperCall(ctx, htr, target, body)
		}
		statuses = append(statuses, status)
		if status != http.StatusOK {
			return statuses, http.StatusBadGateway
		}
	}
	return statuses, http.StatusOK
}

// attemptDeeperCall makes one attempt of a deeper call and counts it.
func (bas *BackendServer) attemptDeeperCall(ctx context.Context, htr *http.Request, target string, body []byte) int {
	status := bas.sendDeeperCall(ctx, htr, target, body)
	bas.recorder.count(func(rec *record.Record) {
		rec.DeeperCalls++
		if status != http.StatusOK {
			rec.DeeperFailed++
		}
	})
	return status
}

// sendDeeperCall sends a deeper call to the node and returns its status, or 502 if there is no complete answer. The
// call handle is the only header field that it takes over from the request. The body is wrapped so that the HTTP
// transport cannot rewind it and retry the call by itself.
func (bas *BackendServer) sendDeeperCall(ctx context.Context, htr *http.Request, target string, body []byte) int {
	if !bas.NodeAddress.IsValid() {
		return http.StatusBadGateway
	}
	deeper, err := http.NewRequestWithContext(ctx, htr.Method, "http://"+bas.NodeAddress.String()+target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return http.StatusBadGateway
	}
	deeper.ContentLength = int64(len(body))
	deeper.Header.Set(message.CallHandle, htr.Header.Get(message.CallHandle))
	res, err := bas.client.Do(deeper)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return http.StatusBadGateway
	}
	return res.StatusCode
}
