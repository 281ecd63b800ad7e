package gcpacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/gcpacer"
)

const cores = 0.5

// process simulates a process that uses a part of its cores.
type process struct {
	used    time.Duration
	percent int
	changes []string
}

func (pro *process) newPacer() *gcpacer.Pacer {
	pac := gcpacer.New(cores)
	pac.ProcessorTime = func() time.Duration { return pro.used }
	pac.SetGCPercent = func(percent int) { pro.percent = percent }
	pac.OnChange = func(state string, _ float64) { pro.changes = append(pro.changes, state) }
	pac.Start()
	return pac
}

// run ticks for a number of seconds in which the process uses a part of its cores.
func (pro *process) run(pac *gcpacer.Pacer, seconds int, utilisation float64) {
	const tick = 100 * time.Millisecond
	for range seconds * int(time.Second/tick) {
		time.Sleep(tick)
		pro.used += time.Duration(utilisation * cores * float64(tick))
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
