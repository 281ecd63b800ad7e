// Package collection decides how often garbage is collected, by the processor time that the process uses.
package collection
