// Package answer holds what a gate reports about a call in addition to the bytes of the answer.
package answer
