// Package confirmation describes what a node knows about the age of its configuration.
package confirmation
