// Package tokenshare keeps each host's even part of the client accounts' rates, without a leader.
//
// Each host accrues rate/hosts tokens a second, up to burst/hosts. Tokens that a host does not need move to another
// one only by a loan, so that all hosts together never accrue more than the rate, whichever of them reach each other.
package tokenshare
