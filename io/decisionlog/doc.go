// Package decisionlog writes one line for each decision, at a bounded rate for each kind.
package decisionlog
