// Package exchange describes one message of an exchange between two membership lists.
package exchange
