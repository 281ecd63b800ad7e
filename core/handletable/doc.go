// Package handletable keeps the handles of the calls that run on the local backend server, by random names.
//
// A handle holds a running call and the retry allowance for its deeper calls: those that the backend server makes for
// it while it runs. The node gives the backend server the name with the call, and the backend server sends it along
// with each deeper call, so that the node can tell for which call that was made.
package handletable
