// Package conformance checks the times of admitted calls against a rate and a burst.
package conformance
