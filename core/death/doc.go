// Package death describes the end of a backend server's process as its gate saw it.
package death
