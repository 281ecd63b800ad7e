// Package watch detects changes of a settings file, by signals and by polling.
package watch
