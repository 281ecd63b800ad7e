package machine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/chart"
	"flamingoreach/core/machine"
)

type door struct {
	locked bool
	rings  int
}

const doorChart = `
name = "door"
initial = "closed"
events = ["push"]
[[states.closed.on]]
event = "push"
guard = "unlocked"
actions = ["ring"]
target = "open"
[[states.closed.on]]
event = "push"
target = "closed"
[states.open]
final = true
`

func parse(tb testing.TB) *chart.Chart {
	tb.Helper()
	cha, err := chart.Parse("door.toml", []byte(doorChart))
	require.NoError(tb, err)
	return cha
}

func guards() map[string]func(*door) bool {
	return map[string]func(*door) bool{"unlocked": func(doo *door) bool { return !doo.locked }}
}

func actions() map[string]func(*door) {
	return map[string]func(*door){"ring": func(doo *door) { doo.rings++ }}
}

func TestFireTakesTheFirstTransitionWhoseGuardHolds(t *testing.T) {
	mac, err := machine.New(parse(t), []string{"push"}, guards(), actions())
	require.NoError(t, err)
	doo := &door{locked: true}
	require.Equal(t, "closed", mac.Fire(doo, mac.Initial(), "push"))
	doo.locked = false
	require.Equal(t, "open", mac.Fire(doo, "closed", "push"))
	require.Equal(t, 1, doo.rings)
	require.Equal(t, "open", mac.Fire(doo, "open", "push"))
	require.True(t, mac.Final("open"))
}

func TestNewReportsNamesThatTheCodeOrTheChartLacks(t *testing.T) {
	_, err := machine.New(parse(t), []string{"push"}, nil, actions())
	require.ErrorContains(t, err, `door.toml: guard "unlocked" has no code`)
	_, err = machine.New(parse(t), []string{"push"}, guards(), nil)
	require.ErrorContains(t, err, `door.toml: action "ring" has no code`)
	_, err = machine.New(parse(t), []string{"push", "pull"}, guards(), actions())
	require.ErrorContains(t, err, `door.toml: event "pull" of the code is not in the chart`)
}

func BenchmarkFire(b *testing.B) {
	mac := machine.MustNew(parse(b), []string{"push"}, guards(), actions())
	doo := &door{}
	b.ReportAllocs()
	for b.Loop() {
		mac.Fire(doo, "closed", "push")
	}
}
