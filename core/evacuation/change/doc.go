// Package change describes a change of one row that evacuates a data centre.
package change
