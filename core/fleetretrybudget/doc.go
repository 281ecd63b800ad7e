// Package fleetretrybudget bounds the retries that one host sends to the backend servers of each service.
//
// In any window of time, the retries of all hosts together stay within a fixed ratio of the callers' calls plus a fixed
// slack. For this, each host earns the ratio with each of its own calls and holds an equal part of the slack, which is
// never refilled by time alone.
package fleetretrybudget
