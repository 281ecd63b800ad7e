package controlusage

import "time"

// Usage holds the resources that a node has used for control since its start.
type Usage struct {
	// Leads is set if the node is its data centre's leader at present.
	Leads         bool          `json:"leads"`
	ProcessorTime time.Duration `json:"processorTime"`
	// Events is the number of events that the control thread has applied.
	Events uint64 `json:"events"`
	// MessageBytes is the size of the control messages sent and received, without the overhead of the transport.
	MessageBytes uint64 `json:"messageBytes"`
	// ConnectionBytes is the number of bytes sent and received over connections between nodes, those of calls and of the
	// transport included. TLS connections that this node opened are not counted.
	ConnectionBytes uint64 `json:"connectionBytes"`
}
