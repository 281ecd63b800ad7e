package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/io/message"
	"flamingoreach/io/peer"
)

const longBytes = 3 << 20

// longMessage returns a message with a long body that takes an answer of any length, and where that answer arrives.
func longMessage(received *bytes.Buffer) message.Message {
	return message.Message{
		Method: http.MethodPost, Length: longBytes,
		Open: func() io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("b", longBytes))) },
		Deliver: func(_ context.Context, _ answer.Answer, _ message.Message, body io.Reader) error {
			received.Reset()
			_, err := received.ReadFrom(body)
			return err
		},
	}
}

func TestLongBodiesPassBetweenNodes(t *testing.T) {
	for name, length := range map[string]int64{"with a length": longBytes, "without a length": -1} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
				ans := answer.Answer{CallID: cal.ID}
				body := msg.Open()
				if err := msg.Deliver(ctx, ans, message.Message{Status: http.StatusOK, Length: length}, body); err != nil {
					t.Error(err)
				}
				return ans, message.Message{Status: http.StatusOK, Delivered: true}
			})
			cli := peer.NewPooledClient(nil)
			defer cli.Close()
			var received bytes.Buffer
			for range 2 {
				cal := newCall()
				ans, reply, err := cli.Run(t.Context(), address, cal, 1, longMessage(&received))
				require.NoError(t, err)
				require.Equal(t, cal.ID, ans.CallID)
				require.True(t, reply.Delivered)
				require.Equal(t, int64(longBytes), reply.Length)
				require.Equal(t, strings.Repeat("b", longBytes), received.String())
			}
		})
	}
}

// Guards against a long answer that is cut on the way and passes as whole, or counts as a lost node.
func TestALongAnswerThatIsCutIsUnknown(t *testing.T) {
	_, address := serve(t, func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
		ans := answer.Answer{CallID: cal.ID}
		body := io.MultiReader(io.LimitReader(msg.Open(), longBytes/2), iotest.ErrReader(io.ErrUnexpectedEOF))
		err := msg.Deliver(ctx, ans, message.Message{Status: http.StatusOK, Length: -1}, body)
		if !errors.Is(err, message.ErrCut) {
			t.Error(err)
		}
		return ans, message.Message{Status: http.StatusOK, Delivered: true}
	})
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	var received bytes.Buffer
	ans, reply, err := cli.Run(t.Context(), address, newCall(), 1, longMessage(&received))
	require.NoError(t, err)
	require.False(t, reply.Delivered)
	require.Equal(t, reason.AnswerTruncated, ans.Refusal.Reason)
	require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
}

// Guards against a gate's refusal that is lost because the body of the call was not read.
func TestARefusalArrivesAlthoughTheBodyIsNotRead(t *testing.T) {
	_, address := serve(t, func(_ context.Context, cal call.Call, _ message.Message) (answer.Answer, message.Message) {
		return answer.Answer{CallID: cal.ID, Refusal: refusal.NotRun(reason.QueueFull, "gate.enter")}, message.Message{}
	})
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	var received bytes.Buffer
	for range 8 {
		ans, _, err := cli.Run(t.Context(), address, newCall(), 1, longMessage(&received))
		require.NoError(t, err)
		require.Equal(t, reason.QueueFull, ans.Refusal.Reason)
		require.Equal(t, outcome.NotRun, ans.Refusal.Outcome)
	}
}

// Guards against calls that fail while the nodes of a fleet change to a new version one after the other.
func TestNodesOfAnEarlierVersionGetCallsInTheirForm(t *testing.T) {
	ser := peer.NewServer()
	ser.RunCall = echo
	handler := ser.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/RunStream") {
			http.NotFound(wri, req)
			return
		}
		handler.ServeHTTP(wri, req)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	cli := peer.NewPooledClient(nil)
	defer cli.Close()
	_, reply, err := cli.Run(t.Context(), address, newCall(), 1, message.Message{Method: http.MethodPost, Body: []byte("body")})
	require.NoError(t, err)
	require.Equal(t, "body", string(reply.Body))
	var received bytes.Buffer
	_, _, err = cli.Run(t.Context(), address, newCall(), 1, longMessage(&received))
	requireOutcome(t, outcome.NotRun, err)
}
