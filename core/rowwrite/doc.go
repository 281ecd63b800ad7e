// Package rowwrite describes one write of a transaction on the platform's table service.
package rowwrite
