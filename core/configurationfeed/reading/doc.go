// Package reading describes what the platform's store answers about the configuration.
package reading
