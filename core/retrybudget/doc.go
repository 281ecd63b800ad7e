// Package retrybudget bounds a node's retries by its recent successes.
package retrybudget
