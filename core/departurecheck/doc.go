// Package departurecheck finds out whether a backend server had left before its node was restarted.
package departurecheck
