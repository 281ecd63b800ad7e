package bytecount_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/bytecount"
)

func TestBothEndsCountAllBytes(t *testing.T) {
	var dialled, accepted bytecount.Counter
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	lis := accepted.Listener(socket)
	defer func() { require.NoError(t, lis.Close()) }()
	echoed := make(chan error, 1)
	go func() {
		con, err := lis.Accept()
		if err == nil {
			_, err = io.CopyN(con, con, 5)
		}
		echoed <- err
	}()
	con, err := dialled.Dialer((&net.Dialer{}).DialContext)(t.Context(), "tcp", lis.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, con.Close()) }()
	_, err = con.Write([]byte("hello"))
	require.NoError(t, err)
	_, err = io.ReadFull(con, make([]byte, 5))
	require.NoError(t, err)
	require.NoError(t, <-echoed)
	require.EqualValues(t, 10, dialled.Bytes())
	require.EqualValues(t, 10, accepted.Bytes())
}
