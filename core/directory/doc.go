// Package directory provides immutable lookup tables of a configuration's routes, client accounts and keys.
package directory
