package configurationfeed_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfeed"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/change"
)

const longestWait = 4 * time.Second

var errUnreachable = errors.New("the store is unreachable")

func newFeed(log *[]string) *configurationfeed.Feed {
	fee := configurationfeed.New()
	fee.Read = func() { *log = append(*log, "read") }
	fee.Check = func(revision uint64) { *log = append(*log, fmt.Sprint("check ", revision)) }
	fee.LongestWait = longestWait
	fee.Follow = func(revision uint64) { *log = append(*log, fmt.Sprint("follow ", revision)) }
	fee.Publish = func(cfg *configuration.Configuration, source string) {
		*log = append(*log, fmt.Sprint(source, " ", cfg.Version))
	}
	fee.OnUnreachable = func(error) { *log = append(*log, "lost") }
	fee.OnReachable = func(time.Duration) { *log = append(*log, "regained") }
	fee.Follows = func() bool { return true }
	fee.Random = func() float64 { return 0.5 }
	return fee
}

func version(number, revision uint64) reading.Reading {
	return reading.Reading{Configuration: &configuration.Configuration{Version: number}, Revision: revision}
}

func take(log *[]string) []string {
	lines := *log
	*log = nil
	return lines
}

func TestOnlyNewerVersionsAreAcceptedFromAnySource(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	fee.Tick()
	fee.HandleAnswer(version(5, 10), nil)
	require.Equal(t, []string{"read", "store 5", "follow 10"}, take(&log))
	fee.ReceiveVersion(&configuration.Configuration{Version: 7})
	fee.HandleAnswer(version(6, 12), nil)
	require.Equal(t, []string{"peer 7", "follow 12"}, take(&log), "an older version is not accepted")
	fee.HandleAnswer(version(7, 13), nil)
	fee.HandleAnswer(version(9, 14), nil)
	require.Equal(t, []string{"follow 13", "store 9", "follow 14"}, take(&log))
	require.Equal(t, uint64(9), fee.Version())
}

func TestAnUnreachableStoreIsRetriedAfterIncreasingPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		fee := newFeed(&log)
		fee.Tick()
		fee.HandleAnswer(reading.Reading{}, errUnreachable)
		fee.Tick()
		require.Equal(t, []string{"read", "lost"}, take(&log))
		time.Sleep(200 * time.Millisecond)
		fee.Tick()
		fee.HandleAnswer(version(1, 2), nil)
		require.Equal(t, []string{"read", "store 1", "regained", "follow 2"}, take(&log))
		asked := 0
		for range 100 {
			fee.HandleAnswer(reading.Reading{}, errUnreachable)
			time.Sleep(100 * time.Millisecond)
			fee.Tick()
			asked += len(take(&log))
		}
		require.Less(t, asked, 12, "in 10 s one line for the failure and one for each request after a pause")
	})
}

func TestExpiredHistoryLeadsToAFullRead(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	fee.Tick()
	fee.HandleAnswer(version(1, 2), nil)
	fee.HandleAnswer(reading.Reading{}, fmt.Errorf("feed: %w", reading.ErrHistoryExpired))
	fee.Tick()
	fee.HandleAnswer(version(3, 40), nil)
	require.Equal(t, []string{"read", "store 1", "follow 2", "read", "store 3", "follow 40"}, take(&log))
}

func TestANodeThatDoesNotFollowReliesOnOthersUntilItMust(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	follows := true
	fee.Follows = func() bool { return follows }
	fee.Tick()
	fee.HandleAnswer(version(1, 2), nil)
	require.Equal(t, []string{"read", "store 1", "follow 2"}, take(&log))
	follows = false
	fee.HandleAnswer(version(2, 3), nil)
	fee.Tick()
	require.Equal(t, []string{"store 2"}, take(&log), "the pending request ends first")
	fee.ReceiveVersion(&configuration.Configuration{Version: 4})
	fee.Tick()
	require.Equal(t, []string{"peer 4"}, take(&log))
	follows = true
	fee.Tick()
	require.Equal(t, []string{"check 3"}, take(&log), "changes since the last answer of the store are asked for, without a wait")
	fee.HandleAnswer(version(5, 6), nil)
	require.Equal(t, []string{"store 5", "follow 6"}, take(&log))
}

func TestANodeWithoutAConfigurationAsksTheStoreEvenIfItNeedNotFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		fee := newFeed(&log)
		fee.Follows = func() bool { return false }
		fee.Tick()
		fee.HandleAnswer(reading.Reading{}, errUnreachable)
		time.Sleep(time.Second)
		fee.Tick()
		require.Equal(t, []string{"read", "lost", "read"}, take(&log))
		fee.HandleAnswer(reading.Reading{}, errUnreachable)
		fee.ReceiveVersion(&configuration.Configuration{Version: 4})
		time.Sleep(time.Second)
		fee.Tick()
		require.Equal(t, []string{"peer 4"}, take(&log), "it has a version and others follow")
	})
}

// Guards against a follower that counts as in touch with a store that has turned it away or does not answer.
func TestAVersionIsConfirmedOnlyWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		fee := newFeed(&log)
		require.True(t, fee.ConfirmedAt().IsZero())
		fee.Tick()
		fee.HandleAnswer(version(1, 2), nil)
		time.Sleep(time.Second)
		require.Equal(t, time.Now(), fee.ConfirmedAt(), "the store would have answered")
		answerDue := time.Now().Add(longestWait - time.Second)
		time.Sleep(5 * time.Second)
		require.Equal(t, answerDue, fee.ConfirmedAt(), "the answer is overdue")

		fee.HandleAnswer(reading.Reading{Revision: 2}, nil)
		answered := time.Now()
		time.Sleep(time.Second)
		fee.HandleAnswer(reading.Reading{}, errUnreachable)
		require.Equal(t, answered, fee.ConfirmedAt(), "the store has turned this node away")
		time.Sleep(time.Second)
		fee.Tick()
		require.Equal(t, answered, fee.ConfirmedAt(), "a request alone confirms nothing")
		fee.HandleAnswer(reading.Reading{Revision: 2}, nil)
		require.Equal(t, time.Now(), fee.ConfirmedAt())
	})
}

// Guards against an evacuation that takes effect later than the version beside it, and against one that is lost because the
// configuration beside it is invalid.
func TestEvacuationsAreFollowedBesideTheConfiguration(t *testing.T) {
	var log []string
	fee := newFeed(&log)
	fee.OnEvacuation = func(eva evacuation.Evacuation, source string) { log = append(log, fmt.Sprint(source, eva.DataCentres)) }
	fee.Tick()
	listed := version(5, 10)
	listed.Evacuation = &evacuation.Evacuation{Position: listed.Position()}
	fee.HandleAnswer(listed, nil)
	require.Equal(t, []string{"read", "store[]", "store 5", "follow 10"}, take(&log))
	changed := reading.Reading{Revision: 12, EvacuationChanges: []change.Change{{DataCentre: "a", Evacuated: true}}}
	fee.HandleAnswer(changed, errors.New("the configuration is invalid"))
	require.Equal(t, []string{"store[a]", "lost"}, take(&log))
	fee.ReceiveEvacuation(evacuation.New(listed.Position()))
	require.Empty(t, log, "an older list")
	eva, known := fee.Evacuations()
	require.True(t, known)
	require.Equal(t, changed.Position(), eva.Position)
}

// Guards against a node that takes a failed request for a list without evacuations: after a start it would open its gate.
func TestAFailedRequestSaysNothingOfEvacuations(t *testing.T) {
	for _, err := range []error{errors.New("the store is away"), reading.ErrHistoryExpired} {
		var log []string
		fee := newFeed(&log)
		fee.OnEvacuation = func(evacuation.Evacuation, string) { log = append(log, "evacuations") }
		fee.Tick()
		fee.HandleAnswer(reading.Reading{}, err)
		_, known := fee.Evacuations()
		require.False(t, known)
		require.NotContains(t, log, "evacuations")
	}
}
