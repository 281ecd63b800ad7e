// Package settingsfile reads the settings of one node from TOML.
//
// All problems of a file are reported together, each with its line.
package settingsfile
