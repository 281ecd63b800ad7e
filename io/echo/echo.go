package echo

import (
	"crypto/sha256"
	"encoding/hex"
)

// RequestIDHeader carries the request ID of the load generator; nodes forward it unchanged.
const RequestIDHeader = "Load-Request-Id"

// Echo is the JSON body of the answer of a stand-in backend server.
type Echo struct {
	// CallID is empty if the request did not pass through a node.
	CallID    string `json:"callId,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	// Digest is the SHA-256 digest of the request's body, in hexadecimal.
	Digest string `json:"digest"`
	Length int    `json:"length"`
	Method string `json:"method"`
	Target string `json:"target"`
	// Deeper holds the status of each deeper call, in the order of the calls.
	Deeper []int `json:"deeper,omitempty"`
}

// Digest returns the digest of a body in the form of the field Echo.Digest.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
