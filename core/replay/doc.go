// Package replay feeds the inputs of a recorded trace to modules and compares their effects with the recorded ones.
package replay
