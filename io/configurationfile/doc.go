// Package configurationfile reads and writes a configuration as a TOML file for version control.
//
// All faults of a file are reported together, each with its line and field. Durations are strings such as "250ms".
// Keys of client accounts are written as SHA-256 digests in hexadecimal digits.
package configurationfile
