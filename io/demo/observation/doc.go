// Package observation holds the times and the result of one request.
package observation
