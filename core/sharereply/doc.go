// Package sharereply describes a leader's answer to a share request.
package sharereply
