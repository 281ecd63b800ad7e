// Package tokenshare divides the client accounts' rates among hosts, without a leader.
//
// The tokens of an account accrue at its holders, each with an even part of rate and burst. All hosts know the holders
// by hashing. Tokens move to the hosts at which calls arrive only by loans, so that all hosts together never let more
// calls through than the rate allows, whichever of them reach each other.
package tokenshare
