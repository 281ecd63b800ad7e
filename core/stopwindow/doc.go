// Package stopwindow decides which requests a host that stops may still take.
package stopwindow
