package sharerig

import "time"

const (
	tickInterval = 100 * time.Millisecond
	// One-way latencies; Rig.latency adds a random part of up to a quarter. tableLatency is added for messages to and
	// from the table.
	withinDataCentreLatency = 200 * time.Microsecond
	withinRegionLatency     = time.Millisecond
	betweenRegionsLatency   = 8 * time.Millisecond
	tableLatency            = 4 * time.Millisecond
	// maxExtraDelay bounds the random extra delay of late messages and writes.
	maxExtraDelay = 5 * time.Second
)

// event is a scheduled function call.
type event struct {
	at     time.Time
	number uint64
	// node is the node at which the event happens: it waits while the node is paused and is dropped if the node is
	// dead. It is nil for events that happen at no node.
	node  *node
	apply func()
}

// eventQueue is a heap of events ordered by time, then by number.
type eventQueue []*event

func (que eventQueue) Len() int { return len(que) }

func (que eventQueue) Less(one, other int) bool {
	if que[one].at.Equal(que[other].at) {
		return que[one].number < que[other].number
	}
	return que[one].at.Before(que[other].at)
}

func (que eventQueue) Swap(one, other int) { que[one], que[other] = que[other], que[one] }

// Push implements heap.Interface.
func (que *eventQueue) Push(eve any) { *que = append(*que, eve.(*event)) }

// Pop implements heap.Interface.
func (que *eventQueue) Pop() any {
	last := (*que)[len(*que)-1]
	*que = (*que)[:len(*que)-1]
	return last
}
