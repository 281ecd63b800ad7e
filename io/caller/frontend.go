package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"flamingoreach/core/allowance"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/handle"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/io/message"
)

// FrontEnd is the HTTP front end for calls. All fields but FindHandle must be set.
type FrontEnd struct {
	// BodyBytes bounds the body of a call.
	BodyBytes int64
	// FindHandle returns the call handle with this name. It is set only on the listener for backend servers, which send a
	// call handle instead of a key.
	FindHandle func(name string) (*handle.Handle, bool)
	// Admit authenticates and admits a call, or returns the refusal.
	Admit func(ctx context.Context, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal)
	// Run runs an admitted call at a gate of its service and returns the answer with the backend server's message.
	Run func(ctx context.Context, cal call.Call, alw *allowance.Allowance, msg message.Message) (answer.Answer, message.Message)
	// OnRefusal is called for each refusal that is sent.
	OnRefusal func(why reason.Reason)
	// OnAnswer is called for each answer of a backend server that is sent.
	OnAnswer func()
	Log      *log.Logger
}

// ServeHTTP handles one call and writes either the complete answer of a backend server or a refusal.
func (fro *FrontEnd) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	req, msg, ref := fro.readRequest(wri, htr)
	if ref != nil {
		fro.refuse(wri, call.Call{}, ref)
		return
	}
	cal, alw, ref := fro.Admit(htr.Context(), req)
	if ref != nil {
		fro.refuse(wri, cal, ref)
		return
	}
	ctx, cancel := context.WithDeadline(htr.Context(), cal.Deadline)
	defer cancel()
	ans, reply := fro.Run(ctx, cal, alw, msg)
	if req.Parent != nil {
		req.Parent.Allowance.Return(ans.AllowanceLeft)
	}
	if ans.Refusal != nil {
		fro.refuse(wri, cal, ans.Refusal)
		return
	}
	fro.OnAnswer()
	writeAnswer(wri, cal, reply)
}

func (fro *FrontEnd) readRequest(wri http.ResponseWriter, htr *http.Request) (request.Request, message.Message, *refusal.Refusal) {
	var req request.Request
	if fro.FindHandle != nil {
		han, found := fro.FindHandle(htr.Header.Get(message.CallHandle))
		if !found {
			return req, message.Message{}, refusal.NotRun(reason.HandleUnknown, "find call handle")
		}
		req.Parent = han
	} else {
		req.Credential = htr.Header.Get(message.Authorization)
		if len(htr.Header.Values(message.Authorization)) > 1 {
			return req, message.Message{}, refusal.NotRun(reason.KeyMalformed, "read key")
		}
	}
	if text := htr.Header.Get(message.Timeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return req, message.Message{}, refusal.NotRun(reason.HeaderInvalid, "read timeout")
		}
		req.Timeout = timeout
	}
	body, ref := fro.readBody(wri, htr)
	if ref != nil {
		return req, message.Message{}, ref
	}
	msg := message.Message{Method: htr.Method, Target: htr.URL.RequestURI(), Header: message.EndToEnd(htr.Header), Body: body}
	if containsCredential(msg, req.Credential) {
		return req, message.Message{}, refusal.NotRun(reason.KeyMisplaced, "search for key")
	}
	req.Method = htr.Method
	req.Path = htr.URL.Path
	req.IdempotencyKey = htr.Header.Get(message.Idempotency)
	req.BodyDigest = xxhash.Sum64(body)
	return req, msg, nil
}

func (fro *FrontEnd) readBody(wri http.ResponseWriter, htr *http.Request) ([]byte, *refusal.Refusal) {
	if htr.ContentLength > fro.BodyBytes {
		return nil, refusal.NotRun(reason.BodyTooLarge, "read body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(wri, htr.Body, fro.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal.NotRun(reason.BodyTooLarge, "read body")
	case err != nil:
		return nil, refusal.NotRun(reason.BodyTruncated, "read body")
	}
	return body, nil
}

// statusByReason maps the reasons of refusals to HTTP status codes; all other reasons have status 503.
var statusByReason = map[reason.Reason]int{
	reason.UnknownRoute:        http.StatusNotFound,
	reason.KeyMissing:          http.StatusUnauthorized,
	reason.KeyMalformed:        http.StatusUnauthorized,
	reason.KeyUnknown:          http.StatusUnauthorized,
	reason.KeyWithdrawn:        http.StatusUnauthorized,
	reason.KeyMisplaced:        http.StatusBadRequest,
	reason.HandleUnknown:       http.StatusForbidden,
	reason.RateExceeded:        http.StatusTooManyRequests,
	reason.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	reason.BodyTruncated:       http.StatusBadRequest,
	reason.HeaderInvalid:       http.StatusBadRequest,
	reason.DeadlineExceeded:    http.StatusGatewayTimeout,
	reason.RepeatInProgress:    http.StatusConflict,
	reason.RepeatUnresolved:    http.StatusConflict,
	reason.HomeLost:            http.StatusConflict,
	reason.DepthExceeded:       http.StatusLoopDetected,
	reason.BackendServerFailed: http.StatusBadGateway,
	reason.PeerUnreachable:     http.StatusBadGateway,
	reason.AnswerTruncated:     http.StatusBadGateway,
	reason.AnswerMismatched:    http.StatusBadGateway,
}

func (fro *FrontEnd) refuse(wri http.ResponseWriter, cal call.Call, ref *refusal.Refusal) {
	fro.OnRefusal(ref.Reason)
	fro.Log.Debug("refused", "callId", cal.ID, "step", ref.Step, "peer", ref.Peer, "reason", ref.Reason, "outcome", ref.Outcome)
	header := wri.Header()
	header.Set(message.CallID, cal.ID.String())
	header.Set(message.Outcome, ref.Outcome.String())
	header.Set(message.Reason, string(ref.Reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if ref.RetryAfter > 0 {
		seconds := int64((ref.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	status, listed := statusByReason[ref.Reason]
	if !listed {
		status = http.StatusServiceUnavailable
	}
	wri.WriteHeader(status)
	_, _ = io.WriteString(wri, "refused: "+string(ref.Reason)+", "+ref.Outcome.String()+"\n")
}

func writeAnswer(wri http.ResponseWriter, cal call.Call, reply message.Message) {
	header := wri.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	header.Set(message.CallID, cal.ID.String())
	header.Set(message.Outcome, outcome.Ran.String())
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	wri.WriteHeader(reply.Status)
	_, _ = wri.Write(reply.Body)
}
