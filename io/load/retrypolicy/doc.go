// Package retrypolicy describes how a caller retries requests that were refused or failed.
package retrypolicy
