// Package admissionlevel computes the lowest priority that a gate admits while calls wait.
package admissionlevel
