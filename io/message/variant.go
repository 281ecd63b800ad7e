package message

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// selecting holds the header fields by which a backend server chooses among the representations of what a path and query
// name, or that say how it has to read the body.
var selecting = []string{
	"Accept", "Accept-Charset", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Type", "Range",
}

// Variant returns the fingerprint of a request among those whose content has a fingerprint in common: it depends on the query
// and on the header fields that choose a representation. It is 0 if the common fingerprint is.
func (msg *Message) Variant(common uint64) uint64 {
	if common == 0 {
		return 0
	}
	var dig xxhash.Digest
	dig.Reset()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], common)
	_, _ = dig.Write(number[:])
	_, query, _ := strings.Cut(msg.Target, "?")
	_, _ = dig.WriteString(query)
	for _, name := range selecting {
		for _, value := range msg.Header[name] {
			for _, text := range []string{"\n", name, ":", value} {
				_, _ = dig.WriteString(text)
			}
		}
	}
	return dig.Sum64()
}
