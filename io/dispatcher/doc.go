// Package dispatcher runs blocking requests outside the control thread and passes their results to it.
package dispatcher
