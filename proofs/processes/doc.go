// Package processes holds tests that run a fleet as processes on loopback, and kill, stop and freeze (SIGSTOP) them.
package processes
