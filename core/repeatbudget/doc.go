// Package repeatbudget bounds the repeats that one host sends to the backend servers of each service.
//
// All hosts together stay within a ratio of callers' calls plus a slack in any window: each earns the ratio by its own
// calls, and holds its even part of the slack, which does not come back with time.
package repeatbudget
