// Package reading describes the answers of the platform's store to requests for the configuration.
package reading
