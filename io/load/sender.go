package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/reason"
	"flamingoreach/io/echo"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/attempt"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/message"
	"flamingoreach/io/standinbackendserver/record"
)

const (
	maxAnswerBytes = 32 << 20
	maxRecordBytes = 1 << 30
	recordTimeout  = 30 * time.Second
	idleTimeout    = 30 * time.Second
	fillerStream   = 3
)

// The kinds of failure by which attempts are counted; others are "status" followed by the HTTP status.
const (
	errorTimeout    = "timeout"
	errorCancelled  = "cancelled"
	errorRefused    = "connectionRefused"
	errorReset      = "connectionReset"
	errorTruncated  = "truncated"
	errorMismatched = "mismatched"
	errorOther      = "other"
)

// sender is the HTTP client for the targets and for the records of stand-in backend servers.
type sender struct {
	plan      plan.Plan
	transport *http.Transport
}

func newSender(pla plan.Plan) *sender {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!pla.HTTP2)
	protocols.SetUnencryptedHTTP2(pla.HTTP2)
	perTarget := max(1, pla.Connections/len(pla.Targets))
	return &sender{plan: pla, transport: &http.Transport{
		Protocols: protocols, MaxConnsPerHost: perTarget, MaxIdleConnsPerHost: perTarget,
		MaxIdleConns: pla.Connections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

func (sen *sender) close() { sen.transport.CloseIdleConnections() }

// send makes one attempt; each retry of a request goes to the next target.
func (sen *sender) send(ctx context.Context, due arrival.Arrival, number int) attempt.Attempt {
	body := newBody(due)
	target := sen.plan.Targets[(due.Seed+uint64(number))%uint64(len(sen.plan.Targets))]
	htr, err := newRequest(ctx, target, due, body)
	if err != nil {
		return attempt.Attempt{Error: errorOther}
	}
	res, err := sen.transport.RoundTrip(htr)
	if err != nil {
		kind := errorKind(ctx, err)
		return attempt.Attempt{Error: kind, Unsent: kind == errorRefused}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return attempt.Attempt{Status: res.StatusCode, Error: errorKind(ctx, err)}
	}
	return readAnswer(res, text, due, body)
}

// newRequest wraps the body so that the HTTP transport cannot rewind it and retry the request by itself.
func newRequest(ctx context.Context, target netip.AddrPort, due arrival.Arrival, body []byte) (*http.Request, error) {
	htr, err := http.NewRequestWithContext(ctx, due.Kind.Method, "http://"+target.String()+due.Kind.Path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, eris.Wrapf(err, "build request to %s", target)
	}
	htr.ContentLength = int64(len(body))
	htr.Header.Set(echo.RequestIDHeader, due.ID.String())
	if due.Account.Key != "" {
		htr.Header.Set(message.Authorization, "Bearer "+due.Account.Key)
	}
	if due.Kind.IdempotencyKey {
		htr.Header.Set(message.Idempotency, due.ID.String())
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		htr.Header.Set(message.Timeout, time.Until(deadline).String())
	}
	return htr, nil
}

// newBody returns the request's ID, padded with random digits to the body length of its kind; nil if that is 0.
func newBody(due arrival.Arrival) []byte {
	if due.Kind.BodyBytes == 0 {
		return nil
	}
	body := []byte(due.ID.String())
	random := rand.New(rand.NewPCG(due.Seed, fillerStream))
	for len(body) < due.Kind.BodyBytes {
		body = strconv.AppendUint(body, random.Uint64(), 36)
	}
	return body[:max(due.Kind.BodyBytes, len(due.ID.String()))]
}

// readAnswer classifies an answer as complete and matching, as a refusal, or as an error.
func readAnswer(res *http.Response, text []byte, due arrival.Arrival, body []byte) attempt.Attempt {
	att := attempt.Attempt{Status: res.StatusCode, CallID: res.Header.Get(message.CallID), Reason: reason.Reason(res.Header.Get(message.Reason))}
	_ = att.Outcome.UnmarshalText([]byte(res.Header.Get(message.Outcome)))
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		att.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case att.Refused():
	case res.StatusCode != http.StatusOK:
		att.Error = fmt.Sprintf("status%d", res.StatusCode)
	case !matches(text, att.CallID, due, body):
		att.Error, att.Mismatched = errorMismatched, true
	default:
		att.Complete = true
	}
	return att
}

// matches reports whether an echo belongs to this request. With an idempotency key, a retry may get the stored answer to
// an earlier attempt, which has the call ID of that attempt.
func matches(text []byte, callID string, due arrival.Arrival, body []byte) bool {
	var ech echo.Echo
	if json.Unmarshal(text, &ech) != nil {
		return false
	}
	sameCall := ech.CallID == callID || due.Kind.IdempotencyKey
	return sameCall && ech.RequestID == due.ID.String() && ech.Length == len(body) && ech.Digest == echo.Digest(body)
}

func errorKind(ctx context.Context, err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errorTimeout
	case errors.Is(err, context.Canceled) || ctx.Err() != nil:
		return errorCancelled
	case errors.Is(err, io.ErrUnexpectedEOF):
		return errorTruncated
	case errors.Is(err, syscall.ECONNREFUSED):
		return errorRefused
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE):
		return errorReset
	default:
		return errorOther
	}
}

// readExecutions adds up the executions by request ID over the records of all stand-in backend servers; an incomplete
// record counts as failed.
func (sen *sender) readExecutions(ctx context.Context) (executions map[string]int, read, failed int) {
	executions = map[string]int{}
	for _, address := range sen.plan.Records {
		rec, err := sen.readRecord(ctx, address)
		if err != nil || rec.Overflow > 0 {
			failed++
		} else {
			read++
		}
		for id, count := range rec.RequestIDs {
			executions[id] += count
		}
	}
	return executions, read, failed
}

func (sen *sender) readRecord(ctx context.Context, address netip.AddrPort) (record.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	htr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/record", nil)
	if err != nil {
		return record.Record{}, eris.Wrapf(err, "request execution record of %s", address)
	}
	res, err := sen.transport.RoundTrip(htr)
	if err != nil {
		return record.Record{}, eris.Wrapf(err, "request execution record of %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	var rec record.Record
	err = json.NewDecoder(io.LimitReader(res.Body, maxRecordBytes)).Decode(&rec)
	return rec, eris.Wrapf(err, "decode execution record of %s", address)
}
