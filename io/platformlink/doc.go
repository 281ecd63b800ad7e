// Package platformlink sends requests to one service of the platform and counts them.
package platformlink
