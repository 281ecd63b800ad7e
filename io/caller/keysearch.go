package caller

import (
	"bytes"
	"strconv"
	"strings"

	"flamingoreach/io/message"
)

const (
	// shortestKey is the length below which the text of a credential is not searched for.
	shortestKey = 8
	// escapeLength is the length of a percent-encoded byte: a percent sign and two hexadecimal digits.
	escapeLength = 3
)

// containsCredential reports whether any part of a message contains the key of a credential. Such a message must not be
// sent to the backend server.
func containsCredential(msg message.Message, credential string) bool {
	for _, key := range possibleKeys(credential) {
		if containsKey(msg, key) {
			return true
		}
	}
	return false
}

// possibleKeys returns the texts of a credential that may be the key: everything after the scheme, and the last word,
// which differs from it if the scheme is missing or is followed by more than one space.
func possibleKeys(credential string) []string {
	words := strings.Fields(credential)
	if len(words) == 0 {
		return nil
	}
	_, rest, _ := strings.Cut(credential, " ")
	var keys []string
	for _, key := range []string{strings.TrimSpace(rest), words[len(words)-1]} {
		if len(key) >= shortestKey {
			keys = append(keys, key)
		}
	}
	return keys
}

func containsKey(msg message.Message, key string) bool {
	if strings.Contains(msg.Method, key) || strings.Contains(msg.Target, key) || strings.Contains(unescape(msg.Target), key) {
		return true
	}
	if bytes.Contains(msg.Body, []byte(key)) {
		return true
	}
	for name, values := range msg.Header {
		if strings.Contains(strings.ToLower(name), strings.ToLower(key)) {
			return true
		}
		for _, value := range values {
			if strings.Contains(value, key) {
				return true
			}
		}
	}
	return false
}

// unescape decodes every valid percent-encoded byte of a target and leaves invalid ones as they are.
func unescape(target string) string {
	if !strings.Contains(target, "%") {
		return target
	}
	var text strings.Builder
	for len(target) > 0 {
		if target[0] == '%' && len(target) >= escapeLength {
			if value, err := strconv.ParseUint(target[1:escapeLength], 16, 8); err == nil {
				text.WriteByte(byte(value))
				target = target[escapeLength:]
				continue
			}
		}
		text.WriteByte(target[0])
		target = target[1:]
	}
	return text.String()
}
