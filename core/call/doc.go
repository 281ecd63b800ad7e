// Package call describes what nodes need of a call for their decisions, without its body or encoding.
package call
