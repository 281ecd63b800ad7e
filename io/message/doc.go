// Package message holds the HTTP content of a call or an answer, which the core never inspects.
package message
