// Package tokenpool is the pool of leased tokens with which a node admits the calls of client accounts.
//
// The goroutines of calls use it directly: a mutex of each account guards its tokens and is held only briefly.
package tokenpool
