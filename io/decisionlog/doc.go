// Package decisionlog writes a log line for each decision, with a rate limit for each kind of line.
package decisionlog
