// Package crashlink sends to the other nodes of a service which calls were running when a backend server crashed.
package crashlink
