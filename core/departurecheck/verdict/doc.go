// Package verdict describes the result of a departure check.
package verdict
