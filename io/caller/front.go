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

// Front is the HTTP handler for calls; its function fields are its seams.
type Front struct {
	// BodyBytes bounds the body of a call.
	BodyBytes int64
	// FindHandle is set on the listener for backend servers, which show a call handle in place of a key.
	FindHandle func(name string) (*handle.Handle, bool)
	Admit      func(ctx context.Context, req request.Request) (call.Call, *allowance.Allowance, *refusal.Refusal)
	// Run takes an admitted call to a gate and returns the answer with its message.
	Run func(ctx context.Context, cal call.Call, alw *allowance.Allowance, msg message.Message) (answer.Answer, message.Message)
	// OnRefusal counts refusals by reason.
	OnRefusal func(why reason.Reason)
	// OnAnswer counts whole answers.
	OnAnswer func()
	Log      *log.Logger
}

// ServeHTTP answers one call with the whole answer or a refusal.
func (fro *Front) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	req, msg, ref := fro.read(wri, htr)
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
	write(wri, cal, reply)
}

func (fro *Front) read(wri http.ResponseWriter, htr *http.Request) (request.Request, message.Message, *refusal.Refusal) {
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
		span, err := time.ParseDuration(text)
		if err != nil || span <= 0 {
			return req, message.Message{}, refusal.NotRun(reason.HeaderInvalid, "read timeout")
		}
		req.Timeout = span
	}
	body, ref := fro.readBody(wri, htr)
	if ref != nil {
		return req, message.Message{}, ref
	}
	msg := message.Message{Method: htr.Method, Target: htr.URL.RequestURI(), Header: message.EndToEnd(htr.Header), Body: body}
	if shows(msg, req.Credential) {
		return req, message.Message{}, refusal.NotRun(reason.KeyMisplaced, "search for key")
	}
	req.Method = htr.Method
	req.Path = htr.URL.Path
	req.IdempotencyKey = htr.Header.Get(message.Idempotency)
	req.BodyDigest = xxhash.Sum64(body)
	return req, msg, nil
}

func (fro *Front) readBody(wri http.ResponseWriter, htr *http.Request) ([]byte, *refusal.Refusal) {
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

// The status of each refusal that is not 503.
var statuses = map[reason.Reason]int{
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

func (fro *Front) refuse(wri http.ResponseWriter, cal call.Call, ref *refusal.Refusal) {
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
	status, special := statuses[ref.Reason]
	if !special {
		status = http.StatusServiceUnavailable
	}
	wri.WriteHeader(status)
	_, _ = io.WriteString(wri, "refused: "+string(ref.Reason)+", "+ref.Outcome.String()+"\n")
}

func write(wri http.ResponseWriter, cal call.Call, reply message.Message) {
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
