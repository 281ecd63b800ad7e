// Package linkbudget limits the bytes of calls that one node sends over the link between regions.
package linkbudget
