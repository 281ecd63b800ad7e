// Package digest describes the hash over the live members of one data centre.
package digest
