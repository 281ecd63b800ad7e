// Package clientaccount describes a client account with its keys and its rate.
package clientaccount
