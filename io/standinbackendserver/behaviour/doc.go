// Package behaviour configures how the stand-in for a backend server serves its requests, and which faults it simulates.
package behaviour
