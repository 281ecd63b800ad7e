package backendserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/call"
	"flamingoreach/core/handletable"
	"flamingoreach/core/outcome"
	"flamingoreach/io/backendserver"
	"flamingoreach/io/message"
)

// Guards against a part of an answer that is taken for the whole one because the reset of its connection was reported to the
// write of the request's body alone.
func TestAnEarlyAnswerWithoutLengthThatIsResetFails(t *testing.T) {
	const tries, bodyBytes = 30, 5 << 20
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			con, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarlyAndReset(con.(*net.TCPConn))
		}
	}()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	for range tries {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		cli := backendserver.NewClient(handletable.New(), 1<<20)
		cal := call.Call{ID: uuid.New(), Deadline: time.Now().Add(10 * time.Second)}
		ans, reply := cli.Execute(ctx, address, cal, message.Message{Method: http.MethodPost, Target: "/a", Body: make([]byte, bodyBytes)})
		require.NotNil(t, ans.Refusal, "taken for complete: %q", reply.Body)
		require.Equal(t, outcome.Unknown, ans.Refusal.Outcome)
		cli.Close()
		cancel()
	}
}

func answerEarlyAndReset(con *net.TCPConn) {
	_, _ = http.ReadRequest(bufio.NewReader(con))
	_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n\r\nhalf an answer")
	time.Sleep(20 * time.Millisecond)
	_ = con.SetLinger(0)
	_ = con.Close()
}
