// Package trace records the inputs that control state receives and the effects that it has, for replay.
package trace
