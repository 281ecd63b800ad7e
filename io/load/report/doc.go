// Package report holds all attempts and the final state of one request of the load generator.
package report
