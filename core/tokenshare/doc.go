// Package tokenshare divides the client accounts' rates among hosts, without a leader.
//
// The tokens of an account accrue at some of the hosts, its holders, each of which has an equal part of rate and burst.
// Every host computes the holders by hashing. Tokens move to the hosts at which calls arrive only by loans, so that all
// hosts together never admit more calls than the rate allows, even if some cannot reach others.
package tokenshare
