package counts

// Counts holds the numbers of messages and events of a membership list since the start of the process.
type Counts struct {
	ProbesSent         uint64 `json:"probesSent"`
	ProbesReceived     uint64 `json:"probesReceived"`
	ProbesFailed       uint64 `json:"probesFailed"`
	IndirectProbesSent uint64 `json:"indirectProbesSent"`
	GossipSent         uint64 `json:"gossipSent"`
	ExchangesSent      uint64 `json:"exchangesSent"`
	ExchangesReceived  uint64 `json:"exchangesReceived"`
	ExchangesFailed    uint64 `json:"exchangesFailed"`
	RowsWritten        uint64 `json:"rowsWritten"`
	RowsDeleted        uint64 `json:"rowsDeleted"`
	// Suspected and Died count members that this node itself suspected or declared dead; Refuted counts updates about this
	// node that it refuted.
	Suspected uint64 `json:"suspected"`
	Died      uint64 `json:"died"`
	Refuted   uint64 `json:"refuted"`
	// Pauses counts pauses of the process after which it discarded its probes in flight.
	Pauses uint64 `json:"pauses"`
	// Published counts how often the list of live members was published.
	Published uint64 `json:"published"`
}
