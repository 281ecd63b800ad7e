package scanner

import (
	"bytes"
	"math"
	"strconv"
	"sync/atomic"
)

// maxLineBytes bounds the part of a line that is kept while the rest of it arrives. It is as long as the longest header
// that the listener for callers accepts.
const maxLineBytes = 64 << 10

// keptLineBytes bounds the buffer for lines that is kept from one request to the next.
const keptLineBytes = 1 << 10

// crlfBytes is the length of the line end behind the data of a chunk.
const crlfBytes = 2

// preface is the first line of each HTTP/2 connection.
const preface = "PRI * HTTP/2.0"

// state is the part of a request that the next byte belongs to.
type state int

const (
	beforeRequest state = iota
	requestLine
	field
	body
	chunkSize
	chunkData
	trailer
	// stopped is the state of a connection whose next boundary is unknown, and of HTTP/2 connections.
	stopped
)

// Scanner follows the requests of one connection. Scan is for one goroutine at a time; the other methods may be called
// at any time.
type Scanner struct {
	// OnBegin, OnHead and OnEnd, if set, are called with the offset of the first byte of a request in the connection's
	// bytes, and with the offsets behind its head and behind its body. A request with an ambiguous end has no OnHead.
	OnBegin, OnHead, OnEnd func(offset int64)

	state  state
	offset int64
	// rest is the number of bytes of the body or chunk that have not arrived.
	rest int64
	// line holds the beginning of a line whose end has not arrived.
	line []byte

	// Of the present head: whether its version is HTTP/1.1, how often it gives a length and a transfer coding, the length,
	// and whether one of them cannot be followed.
	current          bool
	lengths, codings int
	length           int64
	unclear          bool

	begun     atomic.Int64
	ambiguous atomic.Int64
	http2     atomic.Bool
}

// Begun returns the number of requests of which the first byte was scanned.
func (sca *Scanner) Begun() int64 { return sca.begun.Load() }

// Ambiguous returns the number, from 1, of the first request whose end is ambiguous, or 0 if there is none. Where the
// requests behind it begin is unknown.
func (sca *Scanner) Ambiguous() int64 { return sca.ambiguous.Load() }

// HTTP2 reports whether the connection speaks HTTP/2, whose frames state one length each.
func (sca *Scanner) HTTP2() bool { return sca.http2.Load() }

// Scan follows the next bytes of the connection.
func (sca *Scanner) Scan(part []byte) {
	for len(part) > 0 {
		switch sca.state {
		case stopped:
			return
		case body, chunkData:
			part = sca.skip(part)
		case beforeRequest:
			part = sca.begin(part)
		default:
			part = sca.scanLine(part)
		}
	}
}

// begin passes over empty lines before a request, some of which net/http accepts behind a POST request.
func (sca *Scanner) begin(part []byte) []byte {
	rest := bytes.TrimLeft(part, "\r\n")
	sca.offset += int64(len(part) - len(rest))
	if len(rest) > 0 {
		sca.state = requestLine
		sca.begun.Add(1)
		notify(sca.OnBegin, sca.offset)
	}
	return rest
}

// skip passes over bytes of a body or chunk.
func (sca *Scanner) skip(part []byte) []byte {
	count := min(sca.rest, int64(len(part)))
	sca.offset += count
	if sca.rest -= count; sca.rest == 0 {
		if sca.state == body {
			sca.end()
		} else {
			sca.state = chunkSize
		}
	}
	return part[count:]
}

// scanLine handles a line if all of it has arrived, and keeps it otherwise.
func (sca *Scanner) scanLine(part []byte) []byte {
	length := bytes.IndexByte(part, '\n')
	if length < 0 {
		sca.keep(part)
		sca.offset += int64(len(part))
		return nil
	}
	line := part[:length]
	if len(sca.line) > 0 {
		sca.keep(line)
		line = sca.line
	}
	sca.offset += int64(length) + 1
	sca.handleLine(bytes.TrimSuffix(line, []byte("\r")))
	if sca.line = sca.line[:0]; cap(sca.line) > keptLineBytes {
		sca.line = nil
	}
	return part[length+1:]
}

func (sca *Scanner) keep(part []byte) {
	sca.line = append(sca.line, part[:min(len(part), maxLineBytes-len(sca.line))]...)
}

func (sca *Scanner) handleLine(line []byte) {
	switch sca.state {
	case requestLine:
		sca.beginHead(line)
	case field:
		if len(line) == 0 {
			sca.endHead()
		} else {
			sca.handleField(line)
		}
	case chunkSize:
		sca.beginChunk(line)
	case trailer:
		if len(line) == 0 {
			sca.end()
		}
	}
}

func (sca *Scanner) beginHead(line []byte) {
	if string(line) == preface && sca.begun.Load() == 1 {
		sca.http2.Store(true)
		sca.state = stopped
		return
	}
	// net/http refuses any other request line, so that what follows is not scanned: lines of a few bytes would each count
	// as a request.
	if len(line) < maxLineBytes && !bytes.Contains(line, []byte(" HTTP/1.")) {
		sca.stop()
		return
	}
	sca.state = field
	sca.current = bytes.HasSuffix(line, []byte(" HTTP/1.1"))
	sca.lengths, sca.codings, sca.length, sca.unclear = 0, 0, 0, len(line) >= maxLineBytes
}

// handleField counts the fields that give the length of the body. net/http takes a line that begins with white space for
// a part of the field before it, which other servers do not.
func (sca *Scanner) handleField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	folded := line[0] == ' ' || line[0] == '\t'
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, []byte("Content-Length")):
		sca.lengths++
		length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		sca.length = int64(length)
		sca.unclear = sca.unclear || folded || err != nil
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		sca.codings++
		// net/http ignores the field in requests of HTTP/1.0.
		sca.unclear = sca.unclear || folded || !sca.current || !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	}
}

func (sca *Scanner) endHead() {
	if sca.unclear || sca.lengths > 1 || sca.codings > 1 || sca.lengths > 0 && sca.codings > 0 {
		sca.stop()
		return
	}
	notify(sca.OnHead, sca.offset)
	switch {
	case sca.codings > 0:
		sca.state = chunkSize
	case sca.length > 0:
		sca.state, sca.rest = body, sca.length
	default:
		sca.end()
	}
}

// beginChunk reads the size of a chunk. net/http ends a connection with a chunk that this does not understand; the
// requests behind it are ambiguous all the same.
func (sca *Scanner) beginChunk(line []byte) {
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 63)
	switch {
	case err != nil || size > math.MaxInt64-crlfBytes:
		sca.stop()
	case size == 0:
		sca.state = trailer
	default:
		sca.state, sca.rest = chunkData, int64(size)+crlfBytes
	}
}

// end notes the end of a request.
func (sca *Scanner) end() {
	sca.state = beforeRequest
	notify(sca.OnEnd, sca.offset)
}

// stop notes that the end of the present request is ambiguous.
func (sca *Scanner) stop() {
	sca.state = stopped
	sca.ambiguous.Store(sca.begun.Load())
}

func notify(on func(offset int64), offset int64) {
	if on != nil {
		on(offset)
	}
}
