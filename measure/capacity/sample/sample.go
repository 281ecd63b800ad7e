package sample

import "time"

// Sample holds the measured control plane cost of one fleet. Values are per second and node unless stated otherwise.
type Sample struct {
	// Nodes is the number of nodes in one data centre.
	Nodes       int `json:"nodes"`
	DataCentres int `json:"dataCentres"`
	Accounts    int `json:"accounts"`
	// LeaderCPU and NodeCPU are the processor time of the control thread of a leader and of another node, as a
	// fraction of a core.
	LeaderCPU float64 `json:"leaderCPU"`
	NodeCPU   float64 `json:"nodeCPU"`
	// LeaderBytes and NodeBytes are bytes of control messages, sent and received.
	LeaderBytes float64 `json:"leaderBytes"`
	NodeBytes   float64 `json:"nodeBytes"`
	// LeaderConnectionBytes and NodeConnectionBytes are bytes on connections between nodes, including headers and calls.
	LeaderConnectionBytes float64 `json:"leaderConnectionBytes"`
	NodeConnectionBytes   float64 `json:"nodeConnectionBytes"`
	// LeaderEvents and NodeEvents are events that the control thread handled.
	LeaderEvents float64 `json:"leaderEvents"`
	NodeEvents   float64 `json:"nodeEvents"`
	// ProcessCPU is the fraction of a core that one node used on all its threads, including its share of the stand-ins.
	ProcessCPU float64 `json:"processCPU"`
	// HeapBytes is the heap and stack memory of the process after a garbage collection, divided by the number of nodes,
	// in bytes.
	HeapBytes float64 `json:"heapBytes"`
	// TableReads and TableWrites are the whole fleet's requests to the platform's table.
	TableReads  float64 `json:"tableReads"`
	TableWrites float64 `json:"tableWrites"`
	// CallsAnswered and CallsRefused are the numbers of calls to the whole fleet that got a complete answer and that
	// did not, from the start of the calls to the end of the measurement.
	CallsAnswered float64 `json:"callsAnswered"`
	CallsRefused  float64 `json:"callsRefused"`

	// PatchTime is the time from the operator's request until the version is in force at all nodes.
	PatchTime time.Duration `json:"patchTime"`
	// PatchBytes is the sum over all nodes of the bytes of control messages in PatchTime, minus those in an equally long
	// period without a patch.
	PatchBytes float64 `json:"patchBytes"`
	// LeaderProcessCPU is the fraction of a core that a leader in a separate process used on all its threads.
	LeaderProcessCPU float64 `json:"leaderProcessCPU"`
	// IdleResidentBytes and BusyResidentBytes are the resident memory of a leader in a separate process, before and
	// after calls.
	IdleResidentBytes float64 `json:"idleResidentBytes"`
	BusyResidentBytes float64 `json:"busyResidentBytes"`
	// JoinTime is the time from the start of the joining nodes until all nodes serve; JoinReads and JoinWrites are the
	// fleet's requests to the platform's table in that time.
	JoinTime   time.Duration `json:"joinTime"`
	JoinReads  float64       `json:"joinReads"`
	JoinWrites float64       `json:"joinWrites"`
}
