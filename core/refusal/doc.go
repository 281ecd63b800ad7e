// Package refusal holds the error that a caller gets in place of an answer.
package refusal
