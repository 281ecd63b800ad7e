package hostnode

import (
	"runtime/debug"
	"runtime/metrics"
	"time"

	"flamingoreach/core/processortime"
)

// memoryFraction is the fraction of the process's memory limit that the Go runtime aims to stay below. The rest is for
// stacks, for memory that the kernel holds for the process, and for allocations until a collection ends.
const memoryFraction = 0.6

// setUpRuntime starts the pacing of garbage collection by the processor time that this process uses.
func (nod *Node) setUpRuntime() {
	nod.gcPacer.SetGCPercent = func(percent int) { debug.SetGCPercent(percent) }
	nod.gcPacer.ProcessorTime = nod.processorTime
	nod.gcPacer.Collections = collections
	nod.gcPacer.OnChange = func(state string, part, collections float64) {
		nod.log.Info("collection of garbage", "state", state, "partOfShareUsed", part, "collectionsPerSecond", collections,
			"cores", nod.settings.Cores)
	}
	nod.gcPacer.Start()
	nod.control.AddTicker(nod.gcPacer.Tick)
}

// collections returns the number of collections of garbage since the start of the process.
func collections() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// setMemoryLimit sets the memory limit of the Go runtime for a process that may use the given number of bytes.
func setMemoryLimit(bytes int64) { debug.SetMemoryLimit(int64(float64(bytes) * memoryFraction)) }

// processorTime returns the processor time that this process has used so far, or the last known value if the system
// call fails.
func (nod *Node) processorTime() time.Duration {
	used, err := processortime.OfProcess()
	if err != nil {
		nod.log.Warn("cannot read processor time", "error", err)
		return nod.processorUsed
	}
	nod.processorUsed = used
	return used
}
