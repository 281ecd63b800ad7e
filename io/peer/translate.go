package peer

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/durationpb"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1"
)

func encodeRequest(cal call.Call, version uint64, msg message.Message) *callv1.RunRequest {
	return &callv1.RunRequest{
		Id:                   cal.ID[:],
		Root:                 cal.Root[:],
		Depth:                uint32(cal.Depth),
		Service:              cal.Service,
		Route:                cal.Route,
		Account:              cal.Account,
		KeyId:                cal.KeyID,
		Priority:             int32(cal.Priority),
		Idempotent:           cal.Idempotent,
		IdempotencyKey:       cal.IdempotencyKey,
		TimeLeft:             durationpb.New(time.Until(cal.Deadline)),
		Allowance:            int32(cal.Allowance),
		Fingerprint:          cal.Fingerprint,
		ConfigurationVersion: version,
		Method:               msg.Method,
		Target:               msg.Target,
		Fields:               encodeHeader(msg.Header),
		Body:                 msg.Body,
		RequestId:            cal.RequestID,
		CallerService:        cal.CallerService,
		QueueWait:            durationpb.New(cal.QueueWait),
		AtOnce:               cal.RefuseWhenFull,
		Host:                 msg.Host,
		Regions:              cal.Regions,
		CallerDataCentre:     cal.CallerDataCentre,
	}
}

func decodeRequest(req *callv1.RunRequest) (call.Call, message.Message, error) {
	id, err := uuid.FromBytes(req.GetId())
	if err != nil {
		return call.Call{}, message.Message{}, err
	}
	root, err := uuid.FromBytes(req.GetRoot())
	if err != nil {
		return call.Call{}, message.Message{}, err
	}
	cal := call.Call{
		ID:               id,
		Root:             root,
		Depth:            int(req.GetDepth()),
		Service:          req.GetService(),
		Route:            req.GetRoute(),
		Account:          req.GetAccount(),
		KeyID:            req.GetKeyId(),
		Priority:         int(req.GetPriority()),
		Idempotent:       req.GetIdempotent(),
		IdempotencyKey:   req.GetIdempotencyKey(),
		Deadline:         time.Now().Add(req.GetTimeLeft().AsDuration()),
		Allowance:        int(req.GetAllowance()),
		Fingerprint:      req.GetFingerprint(),
		RequestID:        req.GetRequestId(),
		CallerService:    req.GetCallerService(),
		CallerDataCentre: req.GetCallerDataCentre(),
		QueueWait:        req.GetQueueWait().AsDuration(),
		RefuseWhenFull:   req.GetAtOnce(),
		Regions:          req.GetRegions(),
	}
	msg := message.Message{Method: req.GetMethod(), Host: req.GetHost(), Target: req.GetTarget(), Header: decodeHeader(req.GetFields()), Body: req.GetBody()}
	return cal, msg, nil
}

func encodeResponse(ans answer.Answer, msg message.Message) *callv1.RunResponse {
	return &callv1.RunResponse{
		CallId:         ans.CallID[:],
		Refusal:        encodeRefusal(ans.Refusal),
		AllowanceLeft:  int32(ans.AllowanceLeft),
		AdmissionLevel: int32(ans.AdmissionLevel),
		Load:           ans.Load,
		ServiceTime:    durationpb.New(ans.ServiceTime),
		Status:         int32(msg.Status),
		Fields:         encodeHeader(msg.Header),
		Body:           msg.Body,
	}
}

func decodeResponse(res *callv1.RunResponse) (answer.Answer, message.Message, error) {
	id, err := uuid.FromBytes(res.GetCallId())
	if err != nil {
		return answer.Answer{}, message.Message{}, err
	}
	ans := answer.Answer{
		CallID:         id,
		Refusal:        decodeRefusal(res.GetRefusal()),
		AllowanceLeft:  int(res.GetAllowanceLeft()),
		AdmissionLevel: int(res.GetAdmissionLevel()),
		Load:           res.GetLoad(),
		ServiceTime:    res.GetServiceTime().AsDuration(),
	}
	return ans, message.Message{Status: int(res.GetStatus()), Header: decodeHeader(res.GetFields()), Body: res.GetBody()}, nil
}

func encodeRefusal(ref *refusal.Refusal) *callv1.Refusal {
	if ref == nil {
		return nil
	}
	enc := &callv1.Refusal{
		Reason:     string(ref.Reason),
		Outcome:    ref.Outcome.String(),
		RetryAfter: durationpb.New(ref.RetryAfter),
		Elsewhere:  ref.Elsewhere,
		Step:       ref.Step,
		Offered:    ref.Offered,
	}
	if ref.Peer.IsValid() {
		enc.Peer = ref.Peer.String()
	}
	return enc
}

func decodeRefusal(enc *callv1.Refusal) *refusal.Refusal {
	if enc == nil {
		return nil
	}
	var oc outcome.Outcome
	_ = oc.UnmarshalText([]byte(enc.GetOutcome()))
	peer, err := netip.ParseAddrPort(enc.GetPeer())
	if err != nil {
		peer = netip.AddrPort{}
	}
	return &refusal.Refusal{
		Reason:     reason.Reason(enc.GetReason()),
		Outcome:    oc,
		RetryAfter: enc.GetRetryAfter().AsDuration(),
		Elsewhere:  enc.GetElsewhere(),
		Step:       enc.GetStep(),
		Offered:    enc.GetOffered(),
		Peer:       peer,
	}
}

func encodeHeader(header http.Header) []*callv1.Field {
	fields := make([]*callv1.Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &callv1.Field{Name: name, Value: value})
		}
	}
	return fields
}

func decodeHeader(fields []*callv1.Field) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.GetName()] = append(header[field.GetName()], field.GetValue())
	}
	return header
}
