// Package watch finds out that a settings file has changed, with and without a signal.
package watch
