// Package latency holds percentiles of the time to complete answers.
package latency
