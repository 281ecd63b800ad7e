// Package sharegrant describes the tokens that a leader grants for one client account.
package sharegrant
