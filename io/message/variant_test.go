package message_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/message"
)

// Guards against requests that a backend server can tell apart and the quarantine cannot, and against copies of one request
// that it takes for different ones.
func TestAVariantIsThatOfTheQueryAndTheRepresentation(t *testing.T) {
	variant := func(target string, header http.Header) uint64 {
		msg := message.Message{Target: target, Header: header}
		return msg.Variant(7)
	}
	first := variant("/a?b=1", http.Header{"Accept": {"text/html"}})
	require.Equal(t, first, variant("/a?b=1", http.Header{"Accept": {"text/html"}, "Attempt-Id": {"2"}, "Traceparent": {"3"}}))
	for _, other := range []uint64{
		variant("/a?b=2", http.Header{"Accept": {"text/html"}}),
		variant("/a", http.Header{"Accept": {"text/html"}}),
		variant("/a?b=1", http.Header{"Accept": {"text/plain"}}),
		variant("/a?b=1", http.Header{"Accept": {"text/html"}, "Range": {"bytes=0-1"}}),
		variant("/a?b=1", http.Header{"Accept-Language": {"text/html"}}),
		variant("/a?b=1", nil),
	} {
		require.NotEqual(t, first, other)
	}
	msg := message.Message{Target: "/a?b=1"}
	require.NotEqual(t, msg.Variant(7), msg.Variant(8))
	require.Zero(t, msg.Variant(0), "a request without a fingerprint has no variant")
}
