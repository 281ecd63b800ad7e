package node

import "time"

const (
	// taskLimit is the number of blocking requests of the control thread that may run at the same time.
	taskLimit = 64
	// askTimeout bounds one control message to another node and the answer to it.
	askTimeout = time.Second
)
