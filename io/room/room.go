package room

import "sync/atomic"

// Room is a number of bytes that several bodies share; a nil *Room has no bound. It is safe for concurrent use.
type Room struct {
	max  int64
	used atomic.Int64
}

// New returns a room of the given number of bytes.
func New(bytes int64) *Room { return &Room{max: bytes} }

// Take reports whether there was room for a number of bytes, and takes it.
func (roo *Room) Take(bytes int64) bool {
	if roo == nil || roo.used.Add(bytes) <= roo.max {
		return true
	}
	roo.used.Add(-bytes)
	return false
}

// GiveBack returns bytes that were taken.
func (roo *Room) GiveBack(bytes int64) {
	if roo != nil {
		roo.used.Add(-bytes)
	}
}
