// Package keyhash identifies a caller's key by its hash, so that the key itself is not stored.
package keyhash
