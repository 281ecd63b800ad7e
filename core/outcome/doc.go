// Package outcome says whether a backend server ran a call.
package outcome
