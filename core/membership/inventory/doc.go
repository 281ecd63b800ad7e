// Package inventory describes the list of a data centre's live members by hash.
package inventory
