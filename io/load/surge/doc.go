// Package surge describes a period in which the offered load is multiplied.
package surge
