package gcpacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/gcpacer"
)

const cores = 0.5

// process simulates a process that uses a part of its cores and fills its heap.
type process struct {
	used      time.Duration
	percent   int
	collected float64
	changes   []string
}

func (pro *process) newPacer() *gcpacer.Pacer {
	pac := gcpacer.New(cores)
	pac.ProcessorTime = func() time.Duration { return pro.used }
	pac.SetGCPercent = func(percent int) { pro.percent = percent }
	pac.Collections = func() uint64 { return uint64(pro.collected) }
	pac.OnChange = func(state string, _, _ float64) { pro.changes = append(pro.changes, state) }
	pac.Start()
	return pac
}

// run ticks for a number of seconds in which the process uses a part of its cores.
func (pro *process) run(pac *gcpacer.Pacer, seconds int, utilisation float64) {
	pro.allocate(pac, seconds, utilisation, 0)
}

// allocate ticks for a number of seconds in which the process uses a part of its cores and allocates as many bytes a second
// as its live heap holds, times the given number.
func (pro *process) allocate(pac *gcpacer.Pacer, seconds int, utilisation, heaps float64) {
	const tick, percent = 100 * time.Millisecond, 100.0
	for range seconds * int(time.Second/tick) {
		time.Sleep(tick)
		pro.used += time.Duration(utilisation * cores * float64(tick))
		pro.collected += heaps * percent / float64(pro.percent) * tick.Seconds()
		pac.Tick()
	}
}

func TestGarbageIsCollectedLessOftenWhileProcessorTimeIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pro := &process{}
		pac := pro.newPacer()
		normalGCPercent := pro.percent
		pro.run(pac, 5, 0.2)
		require.Equal(t, normalGCPercent, pro.percent)
		pro.run(pac, 2, 0.9)
		require.Greater(t, pro.percent, normalGCPercent)
		pro.run(pac, 5, 0.4)
		require.Greater(t, pro.percent, normalGCPercent, "utilisation between the two bounds changes nothing")
		pro.run(pac, 2, 0.1)
		require.Equal(t, normalGCPercent, pro.percent)
		require.Equal(t, []string{"hurried", "sparing"}, pro.changes)
	})
}

// The load: many hosts that each use a small part of their cores for calls, of which collections take a third.
func TestGarbageIsCollectedLessOftenWhileCollectionsAreFrequent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pro := &process{}
		pac := pro.newPacer()
		normalGCPercent := pro.percent
		const quietHeaps, busyHeaps = 1, 4
		pro.allocate(pac, 10, 0.1, quietHeaps)
		require.Equal(t, normalGCPercent, pro.percent, "memory is spared while collections are rare")
		pro.allocate(pac, 3, 0.1, busyHeaps)
		require.Greater(t, pro.percent, normalGCPercent)
		pro.allocate(pac, 30, 0.1, busyHeaps)
		require.Equal(t, []string{"hurried"}, pro.changes, "the same load does not change the state back")
		pro.allocate(pac, 3, 0.1, quietHeaps)
		require.Equal(t, normalGCPercent, pro.percent)
	})
}
