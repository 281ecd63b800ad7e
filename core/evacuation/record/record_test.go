package record_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/change"
	"flamingoreach/core/evacuation/record"
	"flamingoreach/core/storeposition"
)

func at(era, revision uint64) storeposition.Position {
	return storeposition.Position{Era: era, Revision: revision}
}

func newRecord(log *[]string) *record.Record {
	rec := record.New()
	rec.OnChange = func(eva evacuation.Evacuation, source string) {
		*log = append(*log, fmt.Sprint(source, eva.DataCentres))
	}
	return rec
}

// Guards against an older list that replaces a newer one, whichever way it comes.
func TestALaterPositionReplacesAnEarlierOneAndNeverTheReverse(t *testing.T) {
	var log []string
	rec := newRecord(&log)
	rec.Changed(at(0, 2), at(0, 3), []change.Change{{DataCentre: "x", Evacuated: true}})
	require.Empty(t, log, "changes say nothing before the rows were listed")
	rec.Listed(evacuation.New(at(0, 5)))
	rec.Changed(at(0, 5), at(0, 6), []change.Change{{DataCentre: "b", Evacuated: true}, {DataCentre: "a", Evacuated: true}})
	rec.Receive(evacuation.New(at(0, 5), "c"))
	rec.Changed(at(0, 6), at(0, 9), nil)
	rec.Receive(evacuation.New(at(0, 8)))
	require.Equal(t, []string{"store[]", "store[a b]"}, log)
	latest, known := rec.Latest()
	require.True(t, known)
	require.Equal(t, at(0, 9), latest.Position, "an answer without changes confirms the rows")

	rec.Receive(evacuation.New(at(0, 12), "a"))
	rec.Changed(at(0, 9), at(0, 11), []change.Change{{DataCentre: "b"}, {DataCentre: "c", Evacuated: true}})
	rec.Changed(at(0, 11), at(0, 14), []change.Change{{DataCentre: "a"}, {DataCentre: "a", Evacuated: true}, {DataCentre: "d", Evacuated: true}})
	require.Equal(t, []string{"peer[a]", "store[a d]"}, log[2:])
	rec.Changed(at(0, 16), at(0, 20), nil)
	latest, _ = rec.Latest()
	require.Equal(t, at(0, 14), latest.Position, "the changes in between are not known")
}

// Guards against a node that relied on others from its start and then follows the store in vain.
func TestAllChangesOfAnEraAreAsGoodAsAList(t *testing.T) {
	var log []string
	rec := newRecord(&log)
	rec.Changed(at(0, 0), at(0, 7), []change.Change{{DataCentre: "a", Evacuated: true}, {DataCentre: "b", Evacuated: true}, {DataCentre: "a"}})
	require.Equal(t, []string{"store[b]"}, log)
}

// Guards against a store that is restored from an older copy: the row of an evacuation is lost until the operators write
// it again.
func TestEvacuationsOfAnEarlierEraRemainForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		rec := newRecord(&log)
		rec.Listed(evacuation.New(at(0, 90), "a", "b", "c"))
		rec.Receive(evacuation.New(at(1, 60), "b"))
		rec.Changed(at(0, 90), at(1, 110), []change.Change{{DataCentre: "d", Evacuated: true}})
		require.Equal(t, []string{"store[a b c]"}, log, "rows between the eras are not known until they are listed")
		rec.Listed(evacuation.New(at(1, 71), "b"))
		latest, _ := rec.Latest()
		require.Equal(t, []string{"b"}, latest.DataCentres, "other nodes keep the former rows on their own")
		time.Sleep(4 * time.Second)
		rec.Changed(at(1, 71), at(1, 72), []change.Change{{DataCentre: "a", Evacuated: true}})
		rec.Tick()
		require.Len(t, log, 1, "it was written again in time")
		rec.Changed(at(1, 72), at(1, 73), []change.Change{{DataCentre: "a"}})
		require.Equal(t, "store[b c]", log[1], "a row that the later era had is deleted at once")
		time.Sleep(6 * time.Second)
		rec.Tick()
		require.Equal(t, []string{"era[b]"}, log[2:])
		rec.Receive(evacuation.New(at(0, 99), "a"))
		require.Len(t, log, 3, "an era that goes back is ignored")
	})
}
