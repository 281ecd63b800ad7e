// Package news describes a membership update.
package news
