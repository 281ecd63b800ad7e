// Package placement decides in which regions a call may run, from the regions that its route and its client account
// allow.
package placement
