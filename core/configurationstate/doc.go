// Package configurationstate describes the rows of the table about the configuration: the accepted version and the
// prepared patch.
package configurationstate
