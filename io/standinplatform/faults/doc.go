// Package faults configures the faults that the stand-in for the platform simulates.
package faults
