package authentication

import (
	"strings"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/directory"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
)

const (
	scheme = "Bearer"
	step   = "authenticate"
	// maxKeyLength bounds the work for a key; longer ones are malformed.
	maxKeyLength = 512
)

// Authentication is the result of a check: a client account and the short name of its key.
type Authentication struct {
	Account clientaccount.ClientAccount
	KeyID   string
}

// Check parses the value of an Authorization header and looks up its key; a refusal has the outcome notRun and a reason.
func Check(dir *directory.Directory, credential string) (Authentication, *refusal.Refusal) {
	key, why := parse(credential)
	if why != reason.None {
		return Authentication{}, refusal.NotRun(why, step)
	}
	has := keyhash.Of(key)
	acc, valid := dir.Account(has)
	switch {
	case valid:
		return Authentication{Account: acc, KeyID: has.ID()}, nil
	case dir.Version() == 0:
		return Authentication{}, refusal.NotRun(reason.NoConfiguration, step)
	case dir.Withdrawn(has):
		return Authentication{}, refusal.NotRun(reason.KeyWithdrawn, step)
	default:
		return Authentication{}, refusal.NotRun(reason.KeyUnknown, step)
	}
}

// parse returns the key of "Bearer KEY"; the scheme is not case-sensitive.
func parse(credential string) (string, reason.Reason) {
	if credential == "" {
		return "", reason.KeyMissing
	}
	name, key, found := strings.Cut(credential, " ")
	key = strings.Trim(key, " ")
	if !found || !strings.EqualFold(name, scheme) || key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, notToken) {
		return "", reason.KeyMalformed
	}
	return key, reason.None
}

// notToken reports whether RFC 6750 excludes a character from bearer tokens.
func notToken(cha rune) bool {
	letter := 'a' <= cha && cha <= 'z' || 'A' <= cha && cha <= 'Z'
	digit := '0' <= cha && cha <= '9'
	return !letter && !digit && !strings.ContainsRune("-._~+/=", cha)
}
