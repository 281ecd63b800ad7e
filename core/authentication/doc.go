// Package authentication finds the client account that a caller's key belongs to; the key never leaves the package.
package authentication
