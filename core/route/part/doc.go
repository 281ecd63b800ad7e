// Package part describes one of the services among which a route divides its calls.
package part
