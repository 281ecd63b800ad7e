package scanner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/framing/scanner"
)

// scan returns what a scanner notes of a text that arrives in parts of a length.
func scan(text string, length int) (notes []string, ambiguous int64) {
	note := func(what string) func(int64) {
		return func(offset int64) { notes = append(notes, fmt.Sprint(what, offset)) }
	}
	sca := scanner.Scanner{OnBegin: note("begin"), OnHead: note("head"), OnEnd: note("end")}
	for ; len(text) > 0; text = text[min(length, len(text)):] {
		sca.Scan([]byte(text[:min(length, len(text))]))
	}
	return notes, sca.Ambiguous()
}

// Guards against a boundary that is missed because a request is divided among reads.
func TestBoundariesDoNotDependOnTheReads(t *testing.T) {
	text := "GET / HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST / HTTP/1.1\r\nContent-Length: 6\r\n\r\n\r\n\r\nab" + "\r\n" +
		"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\n\r\n0\r\nA \r\n0123456789\r\n0\r\nEnd: yes\r\n\r\n" +
		"GET / HTTP/1.1\nHost: a\n\n" + "GET /"
	expected := []string{"begin0", "head27", "end27", "begin27", "head65", "end71", "begin73", "head120", "end163", "begin163", "head187", "end187", "begin187"}
	for length := 1; length <= len(text); length++ {
		notes, ambiguous := scan(text, length)
		require.Equal(t, expected, notes, "in parts of %d bytes", length)
		require.Zero(t, ambiguous)
	}
}

// Guards against a request that is passed on although another server on the path may see another end.
func TestAmbiguousRequestsAreFound(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1",
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked",
		"GET / HTTP/1.1\r\nContent-Length: +1",
		"GET / HTTP/1.1\r\nContent-Length : 1\r\ncontent-length: 1",
		"GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked",
		"GET / HTTP/1.1\r\nA: b\r\n Transfer-Encoding: chunked",
		"GET /" + strings.Repeat("a", 64<<10) + " HTTP/1.1\r\nHost: a",
		"GET",
		"GET / HTTP/2.0\r\nHost: a",
	} {
		for _, length := range []int{7, 1 << 20} {
			notes, ambiguous := scan("GET / HTTP/1.1\r\n\r\n"+head+"\r\n\r\nGET / HTTP/1.1\r\n\r\n", length)
			require.Equal(t, int64(2), ambiguous, head)
			require.Equal(t, []string{"begin0", "head18", "end18", "begin18"}, notes)
		}
	}
}
