// Package configurationbody compresses the text of a configuration version for the nodes that fetch it, and caches the
// result.
package configurationbody
