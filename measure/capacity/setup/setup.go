package setup

// Setup describes a fleet of data centres of equal size.
type Setup struct {
	DataCentres int
	// Nodes is the number of nodes in each data centre.
	Nodes    int
	Accounts int
	// Calls says that each node receives one call of each account per second.
	Calls bool
	// JoiningNodes is the number of nodes that start simultaneously in an additional data centre; only MeasureJoin
	// starts them.
	JoiningNodes int
}
