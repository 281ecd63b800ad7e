package keyhash

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Hash is the SHA-256 digest of a caller's key.
type Hash [sha256.Size]byte

// idLength is the number of the hash's first bytes that make up an ID.
const idLength = 8

// Of returns the hash of a key.
func Of(key string) Hash { return sha256.Sum256([]byte(key)) }

// ID returns a short name of the key for logs, peers and traces.
func (has Hash) ID() string { return hex.EncodeToString(has[:idLength]) }

// MarshalText encodes the hash as lower-case hexadecimal digits.
func (has Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(has[:])), nil }

// UnmarshalText decodes 64 hexadecimal digits and fails on any other text.
func (has *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(has) {
		return eris.New("decode key hash: want 64 hexadecimal digits")
	}
	copy(has[:], raw)
	return nil
}
