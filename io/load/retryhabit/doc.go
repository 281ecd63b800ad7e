// Package retryhabit describes how a caller retries requests that were refused or failed.
package retryhabit
