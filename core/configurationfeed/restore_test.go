package configurationfeed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/configurationfeed/reading"
)

// inEra returns a reading of an era.
func inEra(era uint64, rea reading.Reading) reading.Reading {
	rea.Era = era
	return rea
}

// Guards against a follower that goes on after a revision that a restored store gives out again, and against an answer of
// the earlier era that is taken for one of the later.
func TestTheWholeConfigurationIsReadAgainWhenTheEraRises(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	fee.Tick()
	fee.HandleAnswer(inEra(1, version(5, 10)), nil)
	require.Equal(t, []string{"read", "store 5", "follow 10"}, take(&log))
	late := fee.AnswerHandler()
	fee.EraRose(2)
	fee.Tick()
	late(inEra(1, version(6, 11)), nil)
	require.Equal(t, []string{"read"}, take(&log), "the answer to the request of the earlier era is dropped")
	fee.HandleAnswer(inEra(2, version(4, 9)), nil)
	require.Equal(t, []string{"follow 9"}, take(&log), "the revision goes back, the version does not")
	fee.HandleAnswer(inEra(2, version(7, 10)), nil)
	require.Equal(t, []string{"store 7", "follow 10"}, take(&log))
	fee.HandleAnswer(inEra(3, reading.Reading{Revision: 12}), nil)
	fee.Tick()
	require.Equal(t, []string{"read"}, take(&log), "the answer itself tells the new era")
	fee.HandleAnswer(inEra(3, version(7, 3)), nil)
	require.Equal(t, []string{"follow 3"}, take(&log))
}

// Guards against a whole read that began before the store was restored, and against one that is sent twice.
func TestAReadThatARestoreOvertakesCountsByItsEra(t *testing.T) {
	for era, expected := range map[uint64][]string{1: {"read"}, 2: {"store 5", "follow 10"}} {
		var log []string
		fee := newFeed(&log)
		fee.Tick()
		fee.EraRose(2)
		take(&log)
		fee.HandleAnswer(inEra(era, version(5, 10)), nil)
		fee.Tick()
		require.Equal(t, expected, take(&log), "era %d", era)
	}
}

// Guards against a node that later follows in place of others with the revision of an earlier era.
func TestANodeThatReliedOnOthersDuringARestoreReadsTheWholeBeforeItFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		fee := newFeed(&log)
		follows := true
		fee.Follows = func() bool { return follows }
		fee.Tick()
		fee.HandleAnswer(inEra(1, version(1, 12)), nil)
		follows = false
		fee.HandleAnswer(inEra(1, version(2, 13)), nil)
		take(&log)
		fee.EraRose(2)
		fee.Tick()
		require.Empty(t, take(&log), "it calls the store no more than before")
		follows = true
		fee.Tick()
		fee.Tick()
		require.Equal(t, []string{"read"}, take(&log))
		fee.HandleAnswer(inEra(2, version(3, 13)), nil)
		fee.HandleAnswer(reading.Reading{}, errUnreachable)
		fee.EraRose(3)
		take(&log)
		time.Sleep(time.Second)
		fee.Tick()
		require.Equal(t, []string{"read"}, take(&log), "also after the store could not be reached")
	})
}

// Guards against a fleet that no longer reads the configuration because one answer told a wrong, higher era.
func TestAnEraThatGoesBackDoesNotEndTheFeed(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	fee.Tick()
	fee.HandleAnswer(inEra(1, version(1, 12)), nil)
	fee.EraRose(900)
	fee.Tick()
	fee.HandleAnswer(inEra(1, version(2, 13)), nil)
	fee.HandleAnswer(inEra(1, version(3, 14)), nil)
	require.Equal(t, []string{"read", "store 1", "follow 12", "read", "store 2", "follow 13", "store 3", "follow 14"}, take(&log))
}
