// Package record describes what is known of one fingerprint that may crash backend servers.
package record
