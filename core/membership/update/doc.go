// Package update describes a membership update.
package update
