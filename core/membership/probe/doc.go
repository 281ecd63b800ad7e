// Package probe describes a liveness probe from one node to another.
package probe
