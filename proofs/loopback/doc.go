// Package loopback provides loopback addresses for tests that run several hosts on one machine.
package loopback
