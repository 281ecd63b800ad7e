package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingoreach/core/queue"
)

var accounts = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func equalWeight(string) float64 { return 1 }

func newWaiter(account string, priority int) *queue.Waiter {
	return queue.NewWaiter(account, priority, time.Time{})
}

// fill pushes calls until the queue is full and returns it.
func fill(tb testing.TB, length int, account string, priority int) *queue.Queue {
	tb.Helper()
	que := queue.New(length, equalWeight)
	for range length {
		require.Nil(tb, que.Push(newWaiter(account, priority)))
	}
	return que
}

// Guards against a gate that is created before the backend server has told its slots and keeps the few places that it had
// then, so that calls are refused although the queue has room.
func TestTheBoundFollowsTheLengthUnlessItWasLowered(t *testing.T) {
	que := queue.New(2, equalWeight)
	que.SetLength(10)
	require.Equal(t, 10, que.Bound())
	que.SetBound(4)
	que.SetLength(20)
	require.Equal(t, 4, que.Bound(), "queueing delay persists")
	que.SetLength(3)
	require.Equal(t, 3, que.Bound())
}

func TestCallsLeaveByWeightWithinAPriority(t *testing.T) {
	que := queue.New(1000, func(account string) float64 { return map[string]float64{"a": 3, "b": 1}[account] })
	for range 200 {
		que.Push(newWaiter("a", 1))
		que.Push(newWaiter("b", 1))
	}
	count := map[string]int{}
	for range 200 {
		count[que.Pop(false).Account]++
	}
	require.InDelta(t, 150, count["a"], 1)
}

func TestAFloodOfTopPriorityLeavesTheOthersTheirFairTurns(t *testing.T) {
	que := fill(t, 100, "flood", 9)
	served := 0
	for turn := range 1000 {
		que.Push(newWaiter("flood", 9))
		que.Push(newWaiter("b", 0))
		if que.Pop(false).Account == "b" {
			served++
		}
		_ = turn
	}
	require.InDelta(t, 100, served, 2)
}

func TestAMoreImportantArrivalDisplacesTheNewestCallOfTheMostLoadedAccount(t *testing.T) {
	que := queue.New(30, equalWeight)
	var newest *queue.Waiter
	for range 20 {
		newest = newWaiter("a", 1)
		que.Push(newest)
	}
	for range 10 {
		que.Push(newWaiter("b", 1))
	}
	require.Same(t, newest, que.Push(newWaiter("c", 2)))
}

// A call is never refused or displaced while a less important one of its account waits. Across accounts, a more
// important call fails to displace a less important one only in the guaranteed places.
func TestOnlyGuaranteedPlacesAreKeptFromMoreImportantCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := rapid.IntRange(1, 60).Draw(rt, "length")
		que := queue.New(length, equalWeight)
		waiting := map[*queue.Waiter]bool{}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			if rapid.IntRange(0, 3).Draw(rt, "step") == 0 {
				wai := que.Pop(false)
				require.Equal(rt, len(waiting) > 0, wai != nil)
				delete(waiting, wai)
				continue
			}
			wai := newWaiter(rapid.SampledFrom(accounts).Draw(rt, "account"), rapid.IntRange(0, 3).Draw(rt, "priority"))
			waiting[wai] = true
			displaced := que.Push(wai)
			delete(waiting, displaced)
			require.Equal(rt, len(waiting), que.Len())
			require.LessOrEqual(rt, que.Len(), length)
			if displaced != nil {
				requireLeastImportant(rt, waiting, displaced, displaced == wai, length)
			}
		}
	})
}

// requireLeastImportant checks that every waiting call of lower priority than the displaced one belongs to another
// account and is within that account's guarantee, with one more allowed after a displacement.
func requireLeastImportant(rt *rapid.T, waiting map[*queue.Waiter]bool, displaced *queue.Waiter, refused bool, length int) {
	count := map[string]int{}
	for wai := range waiting {
		count[wai.Account]++
	}
	active := len(count)
	if count[displaced.Account] == 0 {
		active++
	}
	guaranteed := max(2, length/2/active)
	for wai := range waiting {
		if wai.Priority >= displaced.Priority {
			continue
		}
		require.NotEqual(rt, wai.Account, displaced.Account)
		if refused {
			require.LessOrEqual(rt, count[wai.Account], guaranteed)
		} else {
			require.LessOrEqual(rt, count[wai.Account], guaranteed+1)
		}
	}
}

func TestAFallingBoundShedsTheLeastImportantFirst(t *testing.T) {
	que := fill(t, 20, "a", 5)
	que.SetBound(20)
	for range 5 {
		require.NotNil(t, que.Push(newWaiter("a", 7)))
	}
	for _, displaced := range que.SetBound(10) {
		require.Equal(t, 5, displaced.Priority)
	}
	require.Equal(t, 10, que.Len())
	require.Equal(t, 7, que.Pop(false).Priority)
}

func TestFIFOIgnoresAccountAndPriority(t *testing.T) {
	que := queue.New(3, equalWeight)
	que.FIFO = true
	for _, wai := range []*queue.Waiter{newWaiter("a", 1), newWaiter("a", 2), newWaiter("b", 3)} {
		require.Nil(t, que.Push(wai))
	}
	late := newWaiter("c", 9)
	require.Same(t, late, que.Push(late))
	for priority := 1; priority <= 3; priority++ {
		require.Equal(t, priority, que.Pop(false).Priority)
	}
}

func BenchmarkPushPopEightAccounts(b *testing.B) {
	que := queue.New(200, equalWeight)
	for index := range 100 {
		que.Push(newWaiter(accounts[index%8], index%3))
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		que.Push(newWaiter(accounts[index%8], index%3))
		que.Pop(false)
	}
}

func TestAnAccountKeepsItsGuaranteedPlacesAgainstMoreImportantCalls(t *testing.T) {
	for length, kept := range map[int]int{100: 25, 4: 2} {
		que := fill(t, length, "flood", 9)
		for range kept {
			require.Equal(t, "flood", que.Push(newWaiter("b", 0)).Account)
		}
		require.Equal(t, "b", que.Push(newWaiter("b", 0)).Account)
		require.Equal(t, "flood", que.Push(newWaiter("flood", 9)).Account)
		require.Equal(t, kept, que.Len()-que.Ahead(9))
	}
}
