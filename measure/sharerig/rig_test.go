package sharerig_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/measure/shareresult"
	"flamingoreach/measure/sharerig"
	"flamingoreach/measure/sharesettings"
)

var (
	settingsFile = flag.String("settings", "", "file with the settings of a run whose figures are printed as JSON")
	seed         = flag.Uint64("seed", 0, "seed in place of the settings'")
	moveEvery    = flag.Duration("moveEvery", -1, "time between two moves of traffic in place of the settings'")
)

// run runs the rig in a testing/synctest bubble; prepare, if not nil, schedules faults.
func run(t *testing.T, set sharesettings.ShareSettings, prepare func(rig *sharerig.Rig)) (res shareresult.ShareResult) {
	synctest.Test(t, func(*testing.T) {
		rig := sharerig.New(set)
		rig.Settle = synctest.Wait
		if prepare != nil {
			prepare(rig)
		}
		rig.Run()
		res = rig.Result()
	})
	return res
}

// TestRig prints the figures of a run with the settings file that the flag -settings names.
func TestRig(t *testing.T) {
	if *settingsFile == "" {
		t.Skip("no settings given")
	}
	set, err := sharesettings.Read(*settingsFile)
	require.NoError(t, err)
	if *seed > 0 {
		set.Seed = *seed
	}
	if *moveEvery >= 0 {
		set.MoveEvery.Duration = *moveEvery
	}
	text, err := json.MarshalIndent(run(t, set, nil), "", "  ")
	require.NoError(t, err)
	fmt.Println(string(text))
}

// Guards against a rig whose figures depend on the order in which goroutines run, so that runs could not be compared.
func TestTheSameSeedGivesTheSameBytes(t *testing.T) {
	first, err := json.Marshal(run(t, surgeSettings(9, 30*time.Second), nil))
	require.NoError(t, err)
	for range 3 {
		again, err := json.Marshal(run(t, surgeSettings(9, 30*time.Second), nil))
		require.NoError(t, err)
		require.Equal(t, string(first), string(again))
	}
}
