// Package handle represents a call that runs on the local backend server. The deeper calls that the server makes for
// it inherit its properties from the handle.
package handle
