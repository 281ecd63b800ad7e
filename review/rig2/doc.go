// Package rig2 starts nodes as separate processes, with stand-ins of the store and of their backend servers, for the cases
// of the second review.
package rig2
