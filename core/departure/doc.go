// Package departure describes that a backend server has left: its node has acknowledged that it drains or deregisters.
package departure
