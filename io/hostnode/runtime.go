package hostnode

import (
	"runtime/debug"
	"time"

	"flamingoreach/core/processortime"
)

// memoryPart is the part of the memory limit that the runtime aims to stay below; the rest is for stacks, for bytes that
// the kernel holds for the process, and for the time until a collection ends.
const memoryPart = 0.6

// joinRuntime lets the runtime collect garbage by the processor time that this process uses.
func (nod *Node) joinRuntime() {
	nod.pace.SetPercent = func(percent int) { debug.SetGCPercent(percent) }
	nod.pace.Used = nod.processorTime
	nod.pace.Changed = func(state string, part float64) {
		nod.log.Info("collection of garbage", "state", state, "partOfShareUsed", part, "cores", nod.settings.Cores)
	}
	nod.pace.Start()
	nod.control.AddTicker(nod.pace.Tick)
}

// setMemoryLimit bounds what the runtime takes, by the most that the process may use in bytes.
func setMemoryLimit(bytes int64) { debug.SetMemoryLimit(int64(float64(bytes) * memoryPart)) }

// processorTime returns what this process has used so far; where the system does not tell, it returns what it knew.
func (nod *Node) processorTime() time.Duration {
	used, err := processortime.OfProcess()
	if err != nil {
		nod.log.Warn("processor time not read", "error", err)
		return nod.processorUsed
	}
	nod.processorUsed = used
	return used
}
