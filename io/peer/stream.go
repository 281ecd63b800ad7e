package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/http1"
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1"
)

// A call and its answer are each sent as the length of a head, the head (callv1.RunRequest or RunResponse without its body)
// and the body, so that a long body is passed on as it arrives and need not be encoded.
const (
	streamPath = "/flamingoreach.call.v1.CallService/RunStream"
	// lengthBytes is the size of the length of a head, in network byte order.
	lengthBytes = 4
	// maxHeadBytes bounds a head; the header of a caller's request is bounded by less.
	maxHeadBytes = 1 << 20
)

var errHeadTooLong = errors.New("the head is longer than the bound")

// appendHead returns the length of a head and the head.
func appendHead(head proto.Message) ([]byte, error) {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes, 1<<10), head)
	if err != nil {
		return nil, eris.Wrap(err, "encode head")
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-lengthBytes))
	return encoded, nil
}

// readHead reads a head and returns the number of bytes that it took.
func readHead(from io.Reader, head proto.Message) (int64, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return 0, eris.Wrap(err, "read length of head")
	}
	bytes := binary.BigEndian.Uint32(length[:])
	if bytes > maxHeadBytes {
		return 0, errHeadTooLong
	}
	encoded := make([]byte, bytes)
	if _, err := io.ReadFull(from, encoded); err != nil {
		return 0, eris.Wrap(err, "read head")
	}
	return lengthBytes + int64(bytes), eris.Wrap(proto.Unmarshal(encoded, head), "decode head")
}

// newStreamRequest returns the HTTP request for a call.
func newStreamRequest(address netip.AddrPort, cal call.Call, version uint64, msg message.Message) (*http.Request, error) {
	body := msg.Body
	msg.Body = nil
	head, err := appendHead(encodeRequest(cal, version, msg))
	if err != nil {
		return nil, err
	}
	length := int64(len(head)+len(body)) + msg.Length
	var rest io.ReadCloser
	switch {
	case msg.Open != nil:
		rest = msg.Open()
	case len(body) > freeCallBytes:
		rest = io.NopCloser(bytes.NewReader(body))
	default:
		head = append(head, body...)
	}
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address.String(), Path: streamPath}, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"User-Agent": {""}}, ContentLength: length,
		// net/http writes the header and a body of this type at once, and needs no buffer to copy it.
		Body: io.NopCloser(bytes.NewReader(head)),
	}
	if rest != nil {
		req.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(head), rest), rest}
	}
	return req, nil
}

// runStream sends a call, and passes a long answer to the message's Deliver.
func (cli *Client) runStream(ctx context.Context, address netip.AddrPort, cal call.Call, version uint64, msg message.Message) (answer.Answer, message.Message, error) {
	req, err := newStreamRequest(address, cal, version, msg)
	if err != nil {
		return answer.Answer{}, message.Message{}, refusal.NotRun(reason.Internal, "encode call")
	}
	var delivered answer.Answer
	var reply message.Message
	rul := http1.Rules{BodyBytes: maxMessageBytes}
	if msg.Deliver != nil {
		rul.WholeBytes = message.WholeAnswerBytes
		rul.Deliver = func(_ http1.Response, length int64, body io.Reader) (err error) {
			delivered, reply, err = receiveLong(ctx, msg.Deliver, length, body)
			return err
		}
	}
	res, err := cli.streams.pool(address).Exchange(ctx, address, req, rul)
	switch {
	case errors.Is(err, message.ErrCut):
		return delivered, reply, nil
	case err != nil:
		return lostStream(ctx, address, cal, delivered, err)
	case res.Delivered:
		return delivered, reply, nil
	}
	return cli.shortAnswer(ctx, address, cal, version, msg, res)
}

// receiveLong reads the head of a long answer and passes the rest on, unless the answer is a refusal.
func receiveLong(ctx context.Context, deliver message.Deliver, length int64, body io.Reader) (answer.Answer, message.Message, error) {
	var head callv1.RunResponse
	headLength, err := readHead(body, &head)
	if err != nil {
		return answer.Answer{}, message.Message{}, err
	}
	ans, reply, err := decodeResponse(&head)
	if err != nil {
		return answer.Answer{}, message.Message{}, err
	}
	if ans.Refusal != nil {
		reply.Body, err = message.ReadWhole(body, message.ErrorBytes)
		return ans, reply, err
	}
	reply.Length = max(length-headLength, -1)
	counted := &countingReader{Reader: body}
	err = deliver(ctx, ans, reply, counted)
	return ans, message.Message{Status: reply.Status, Length: counted.bytes, Delivered: err == nil || errors.Is(err, message.ErrCut)}, err
}

type countingReader struct {
	io.Reader
	bytes int64
}

// Read counts the bytes read.
func (cou *countingReader) Read(into []byte) (int, error) {
	count, err := cou.Reader.Read(into)
	cou.bytes += int64(count)
	return count, err
}

// lostStream returns the refusal of a call that got no complete answer. If the head of an answer had come, the node itself is
// not lost.
func lostStream(ctx context.Context, address netip.AddrPort, cal call.Call, begun answer.Answer, err error) (answer.Answer, message.Message, error) {
	if begun.CallID != cal.ID || ctx.Err() != nil {
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, err)
	}
	begun.Refusal = refusal.Unknown(reason.AnswerTruncated, "read answer of peer")
	begun.Refusal.Peer = address
	return begun, message.Message{}, nil
}

// shortAnswer decodes an answer that was read whole.
func (cli *Client) shortAnswer(ctx context.Context, address netip.AddrPort, cal call.Call, version uint64, msg message.Message, res http1.Response) (answer.Answer, message.Message, error) {
	notRun := func(why reason.Reason, step string) (answer.Answer, message.Message, error) {
		ref := refusal.NotRun(why, step)
		ref.Peer, ref.Elsewhere = address, true
		return answer.Answer{}, message.Message{}, ref
	}
	switch {
	case res.Status == http.StatusRequestTimeout:
		return notRun(reason.PeerUnreachable, "connect to peer")
	case res.Status == http.StatusTooManyRequests:
		return notRun(reason.BodiesFull, "run at peer")
	case res.Status == http.StatusNotFound && msg.Open != nil:
		return notRun(reason.PeerUnreachable, "send long body to peer")
	case res.Status == http.StatusNotFound:
		// The node is of an earlier version.
		return cli.runUnary(ctx, address, cal, version, msg)
	case res.Status != http.StatusOK:
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, eris.Errorf("status %d", res.Status))
	}
	var head callv1.RunResponse
	body := bytes.NewReader(res.Body)
	headLength, err := readHead(body, &head)
	if err != nil {
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, err)
	}
	ans, reply, err := decodeResponse(&head)
	if err != nil {
		return answer.Answer{}, message.Message{}, refusalOfFailure(address, err)
	}
	reply.Body = res.Body[headLength:]
	return ans, reply, nil
}
