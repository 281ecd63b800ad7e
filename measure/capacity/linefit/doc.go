// Package linefit fits a straight line to measured points.
package linefit
