package tokenpool_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/tokenpool"
)

func TestNoTokenIsSpentAfterItsExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		pl.Grant("one", 5, time.Now().Add(time.Second))
		require.True(t, pl.Take("one"))
		time.Sleep(time.Second)
		require.False(t, pl.Take("one"))
		count := pl.Count("one")
		require.EqualValues(t, 1, count.Spent)
		require.EqualValues(t, 4, count.Returned)
	})
}

func TestAGrantThatArrivesAfterItsExpiryIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		pl.Grant("one", 5, time.Now().Add(-time.Second))
		pl.Renew(time.Now().Add(time.Second))
		require.False(t, pl.Take("one"))
		require.EqualValues(t, 5, pl.Count("one").Returned)
	})
}

func TestWaitingCallsGetTheNextTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		lows := 0
		pl.OnLowTokens = func(string) { lows++ }
		results := make(chan bool, 3)
		for range 3 {
			go func() { results <- pl.TakeOrWait(context.Background(), "one", 50*time.Millisecond) }()
		}
		synctest.Wait()
		require.Equal(t, 1, lows, "one report for all calls until the leader answers")
		require.EqualValues(t, 3, pl.Count("one").Waiting)
		pl.Grant("one", 2, time.Now().Add(time.Second))
		synctest.Wait()
		require.Len(t, results, 2)
		pl.Deny("one", time.Now().Add(time.Minute))
		synctest.Wait()
		require.Len(t, results, 3)
		require.EqualValues(t, 2, pl.Count("one").Spent)
		begin := time.Now()
		require.False(t, pl.TakeOrWait(context.Background(), "one", 50*time.Millisecond))
		require.Zero(t, time.Since(begin), "no call waits whose deadline is before the next tokens")
	})
}

func TestAWaitEndsAtItsTimeoutOrWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		begin := time.Now()
		require.False(t, pl.TakeOrWait(context.Background(), "one", 50*time.Millisecond))
		require.Equal(t, 50*time.Millisecond, time.Since(begin))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		require.False(t, pl.TakeOrWait(ctx, "one", time.Second))
		require.Equal(t, 60*time.Millisecond, time.Since(begin))
		require.Zero(t, pl.Count("one").Waiting)
	})
}

func BenchmarkTake(b *testing.B) {
	pl := tokenpool.New()
	pl.Grant("one", 1<<62, time.Now().Add(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			pl.Take("one")
		}
	})
}

func TestACallThatWaitsIsReportedAfterAReportOfLowTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		lows := 0
		pl.OnLowTokens = func(string) { lows++ }
		require.False(t, pl.Take("one"))
		require.False(t, pl.Take("one"))
		require.Equal(t, 1, lows)
		for range 2 {
			go pl.TakeOrWait(context.Background(), "one", time.Second)
		}
		synctest.Wait()
		require.Equal(t, 2, lows)
		time.Sleep(2 * time.Second)
	})
}

func TestAnAccountIsLeasedOnlyWhileTheLeaderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pl := tokenpool.New()
		require.False(t, pl.Leased("one"), "no leader has answered")
		pl.Grant("one", 1, time.Now().Add(time.Second))
		require.True(t, pl.Take("one"))
		require.False(t, pl.Take("one"))
		require.True(t, pl.Leased("one"))
		time.Sleep(time.Second)
		require.False(t, pl.Leased("one"), "the leader is silent")
		pl.Deny("one", time.Now().Add(time.Second))
		require.True(t, pl.Leased("one"))
	})
}
