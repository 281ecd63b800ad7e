// Package segments holds bodies in parts of one size that are used again, so that a long body needs no contiguous memory
// and leaves no garbage.
package segments
