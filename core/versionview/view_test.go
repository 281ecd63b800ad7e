package versionview_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/configuration"
	"flamingoreach/core/directory"
	"flamingoreach/core/versionid"
	"flamingoreach/core/versionview"
)

func body(version uint64, patch string, hold time.Duration) configuration.Configuration {
	cfg := configuration.Default()
	cfg.Version, cfg.PatchID, cfg.CutHold = version, patch, hold
	return cfg
}

// While a patch that changes cutHold is pending, a data centre that does not enforce it yet serves by the old value. If
// another data centre took over its allocations after the shorter one, the same tokens could be spent twice.
func TestAPendingCutHoldIsUsedForServingIfShorterAndForTakeoverIfLonger(t *testing.T) {
	cases := map[string]struct{ current, next, shorter, longer time.Duration }{
		"shortened":  {20 * time.Minute, 10 * time.Minute, 10 * time.Minute, 20 * time.Minute},
		"lengthened": {10 * time.Minute, 20 * time.Minute, 10 * time.Minute, 20 * time.Minute},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			vie := versionview.New()
			bodies := map[uint64]configuration.Configuration{1: body(1, "a", cas.current), 2: body(2, "b", cas.next)}
			vie.Fetch = func(versionid.VersionID) {}
			vie.Publish = func(*directory.Directory) {}
			one := versionid.VersionID{Version: 1, PatchID: "a"}
			two := versionid.VersionID{Version: 2, PatchID: "b", Order: 1}
			vie.Learn(one, versionid.VersionID{})
			vie.Fetched(one, bodies[1], nil)
			require.Equal(t, cas.current, vie.LongestCutHold())
			vie.Learn(one, two)
			vie.Fetched(two, bodies[2], nil)
			require.Equal(t, two, vie.Prepared())
			require.Equal(t, cas.shorter, vie.CutHold())
			require.Equal(t, cas.longer, vie.LongestCutHold())
			vie.Learn(versionid.VersionID{Version: 2, PatchID: "b"}, versionid.VersionID{})
			require.Equal(t, cas.next, vie.CutHold())
			require.Equal(t, cas.next, vie.LongestCutHold())
		})
	}
}
