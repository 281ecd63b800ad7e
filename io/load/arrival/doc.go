// Package arrival describes one request that the load generator is scheduled to send.
package arrival
