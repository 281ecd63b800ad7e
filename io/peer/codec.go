package peer

import (
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// withoutCompression keeps a client from requesting compressed answers: a compressor takes most of a megabyte of
// memory, and the messages between nodes are often compressed already.
func withoutCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// codec encodes control messages, which are plain types of the core, as CBOR and counts their bytes.
type codec struct {
	encoding cbor.EncMode
	bytes    *atomic.Uint64
}

func newCodec(bytes *atomic.Uint64) *codec {
	encoding, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return &codec{encoding: encoding, bytes: bytes}
}

// Name is the codec's part of the content type.
func (cod *codec) Name() string { return "cbor" }

// Marshal encodes a message; it fails on types that CBOR cannot hold.
func (cod *codec) Marshal(message any) ([]byte, error) {
	data, err := cod.encoding.Marshal(message)
	cod.bytes.Add(uint64(len(data)))
	return data, err
}

// Unmarshal decodes a message; it fails on bytes that are not the CBOR of the message's type.
func (cod *codec) Unmarshal(data []byte, message any) error {
	cod.bytes.Add(uint64(len(data)))
	return cbor.Unmarshal(data, message)
}
