// Package loopback hands out loopback addresses to tests that run hosts on one machine.
package loopback
