// Package contents describes what the stand-in for the platform stores, and its counters of requests.
package contents
