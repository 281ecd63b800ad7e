// Package setup describes a fleet whose cost is measured.
package setup
