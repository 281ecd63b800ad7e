// Package locality describes where a host is and how far away other hosts are.
package locality
