package node

import "time"

const (
	// The tasks of the control thread that run at a time.
	taskLimit = 64
	// The time for one control message between nodes.
	askTimeout = time.Second
)
