package pipeline_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	randomRounds   = 40
	randomRequests = 60
)

// randomRequest returns a request of any kind that is answered with a number.
func randomRequest(ran *rand.Rand, number int) string {
	wait := time.Duration(ran.IntN(3)) * time.Millisecond
	switch body := strings.Repeat("GET / HTTP/1.1\r\n\r\n", ran.IntN(400)); ran.IntN(10) {
	case 0:
		return fmt.Sprintf("DELETE /%s?%d HTTP/1.1\r\nHost: a\r\n\r\n", wait, number)
	case 1:
		return fmt.Sprintf("POST /%s?%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", wait, number, len(body), body)
	case 2:
		return fmt.Sprintf("POST /%s?%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", wait, number, len(body)+1, body+"x")
	case 3:
		return fmt.Sprintf("GET /%s?%d HTTP/1.1\nHost: a\nA: %s\n\n", wait, number, strings.Repeat("a", ran.IntN(6000)))
	}
	return get(wait, number)
}

// Guards against bytes that are lost, doubled or read as part of another request, however requests are divided and mixed.
func TestRandomRequestsInRandomPartsAreAnsweredInOrder(t *testing.T) {
	ser := serve(t, nil)
	seeds := rand.New(rand.NewPCG(7, 0))
	var clients sync.WaitGroup
	for round := range randomRounds {
		ran := rand.New(rand.NewPCG(seeds.Uint64(), 0))
		con, reader := connect(t, ser)
		var text strings.Builder
		for number := range randomRequests {
			text.WriteString(randomRequest(ran, number))
		}
		clients.Go(func() {
			for rest := text.String(); rest != ""; {
				part := min(len(rest), 1+ran.IntN(1+ran.IntN(8000)))
				if _, err := io.WriteString(con, rest[:part]); err != nil {
					t.Errorf("round %d: %v", round, err)
					return
				}
				rest = rest[part:]
				if ran.IntN(4) == 0 {
					time.Sleep(time.Duration(ran.IntN(2000)) * time.Microsecond)
				}
			}
		})
		receiveNumbers(t, reader, 0, randomRequests-1)
		require.NoError(t, con.Close())
	}
	clients.Wait()
	require.Equal(t, randomRounds*randomRequests, ser.count("end"))
	require.Zero(t, ser.pip.Waited())
	require.Greater(t, ser.pip.Started(), int64(randomRounds*randomRequests/4))
	require.Zero(t, ser.pip.Cancelled(), "none was forwarded for nothing")
}
