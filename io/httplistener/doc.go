// Package httplistener runs an HTTP server with bounds on header, time and connections, and stops it gracefully.
package httplistener
