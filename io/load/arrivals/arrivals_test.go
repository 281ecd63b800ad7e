package arrivals

import (
	"cmp"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
	"flamingoreach/io/load/surge"
)

func drawAll(pla plan.Plan) []arrival.Arrival {
	var list []arrival.Arrival
	arr := New(pla)
	for due, more := arr.Next(); more; due, more = arr.Next() {
		list = append(list, due)
	}
	return list
}

func TestArrivalsFollowTheRatesAndTheSurge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pla := plan.Plan{
			Seed: rapid.Uint64().Draw(t, "seed"), Requests: 1_000_000, Duration: 10 * time.Second,
			Accounts: []account.Account{{Name: "one", Rate: 150}, {Name: "two", Rate: 50}, {Name: "none"}},
			Kinds:    []kind.Kind{{Name: "often", Weight: 3}, {Name: "seldom", Weight: 1}},
			Surge:    surge.Surge{Factor: 4, After: 2 * time.Second, Length: time.Second},
		}
		list := drawAll(pla)
		require.True(t, slices.Equal(list, drawAll(pla)))
		require.True(t, slices.IsSortedFunc(list, func(one, two arrival.Arrival) int { return cmp.Compare(one.Offset, two.Offset) }))
		inSurge, often := 0.0, 0.0
		for _, due := range list {
			if due.Offset >= 2*time.Second && due.Offset < 3*time.Second {
				inSurge++
			}
			if due.Kind.Name == "often" {
				often++
			}
		}
		const sigmas = 6
		near := func(want, got float64) { require.InDelta(t, want, got, sigmas*math.Sqrt(want)) }
		near(200*9+800, float64(len(list)))
		near(800, inSurge)
		near(float64(len(list))*3/4, often)
	})
}

func TestAllowedRateCoversNoMoreThanItsTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		burst := rapid.Float64Range(1, 50).Draw(t, "burst")
		pla := plan.Plan{
			Seed: rapid.Uint64().Draw(t, "seed"), Requests: 10_000, Duration: 5 * time.Second,
			Accounts: []account.Account{{Rate: 100, AllowedRate: rate, AllowedBurst: burst}}, Kinds: []kind.Kind{{Weight: 1}},
		}
		var covered []time.Duration
		list := drawAll(pla)
		for _, due := range list {
			if due.WithinRate {
				covered = append(covered, due.Offset)
			}
		}
		for from := range covered {
			span := covered[len(covered)-1] - covered[from]
			require.LessOrEqual(t, float64(len(covered)-from), burst+rate*span.Seconds()+1e-6)
		}
		require.GreaterOrEqual(t, float64(len(covered)), min(float64(len(list)), math.Floor(burst)))
	})
}

func TestArrivalsEndAtTheBoundOfRequests(t *testing.T) {
	// The mean gap of the first account is 1e9 s, so that maxGap bounds it and its first arrival is due after the
	// plan's end. It must not keep the other account's requests from being drawn.
	pla := plan.Plan{
		Requests: 7, Duration: time.Hour,
		Accounts: []account.Account{{Rate: 1e-9}, {Rate: 10}}, Kinds: []kind.Kind{{Weight: 1}},
	}
	require.Len(t, drawAll(pla), 7)
}
