// Package tomldocument reads typed values from a TOML text and collects every problem with its line.
//
// The caller reads each key that it knows, then calls Err once, which also reports the keys that were not read.
package tomldocument
