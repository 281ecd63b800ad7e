package tokenshare_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
	"flamingoreach/core/refusal"
	"flamingoreach/core/tokenshare"
	"flamingoreach/core/tokenshare/loan"
)

const account = "bank-a"

func newFleet(hosts int, rate, burst float64) []*tokenshare.Shares {
	addresses := addressesOf(hosts)
	fleet := make([]*tokenshare.Shares, hosts)
	for index := range fleet {
		fleet[index] = tokenshare.New(addresses[index])
		fleet[index].Configure([]clientaccount.ClientAccount{{Name: account, Rate: rate, Burst: burst}})
		fleet[index].SetHosts(addresses)
	}
	return fleet
}

func addressesOf(hosts int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for index := range hosts {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7000))
	}
	return addresses
}

// exchange lets each host request loans every 100 ms, and at once if a call waits, as the control thread does.
func exchange(ctx context.Context, fleet []*tokenshare.Shares, waiting <-chan *tokenshare.Shares) {
	addresses := addressesOf(len(fleet))
	ask := func(sha *tokenshare.Shares) {
		for holder, asks := range sha.LoanRequests() {
			sha.Receive(asks, fleet[slices.Index(addresses, holder)].Lend(asks))
		}
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case sha := <-waiting:
			ask(sha)
		case <-ticker.C:
			for _, sha := range fleet {
				ask(sha)
			}
		}
	}
}

// startExchange lets the hosts request loans of each other until the returned function is called.
func startExchange(t *testing.T, fleet []*tokenshare.Shares) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	waiting := make(chan *tokenshare.Shares, len(fleet))
	for _, sha := range fleet {
		sha.OnCallWaits = func() {
			select {
			case waiting <- sha:
			default:
			}
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		exchange(ctx, fleet, waiting)
	}()
	return func() { cancel(); <-ended }
}

// sendCalls sends calls at a steady rate through some hosts for a time and returns when each one was admitted.
func sendCalls(fleet []*tokenshare.Shares, perSecond float64, span time.Duration) (passed []time.Duration, refused int) {
	began := time.Now()
	results := make(chan time.Duration, 1<<16)
	sent := 0
	for time.Since(began) < span {
		sha := fleet[sent%len(fleet)]
		sent++
		go func() {
			if ref := sha.Take(context.Background(), account); ref != nil {
				results <- -1
				return
			}
			results <- time.Since(began)
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	for range sent {
		if at := <-results; at < 0 {
			refused++
		} else {
			passed = append(passed, at)
		}
	}
	return passed, refused
}

func TestAllHostsTogetherStayWithinRateAndBurstInEveryWindow(t *testing.T) {
	for _, senders := range []int{1, 3, 16} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate, burst = 50.0, 50.0
				fleet := newFleet(16, rate, burst)
				defer startExchange(t, fleet)()
				time.Sleep(10 * time.Second)
				passed, _ := sendCalls(fleet[:senders], 8*rate, 20*time.Second)
				requireWithin(t, passed, rate, burst, 20*time.Second)
			})
		})
	}
}

func TestDemandAtFewHostsWithinTheRateIsServed(t *testing.T) {
	for _, hosts := range []int{16, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newFleet(hosts, 50, 50)
				defer startExchange(t, fleet)()
				time.Sleep(10 * time.Second)
				passed, refused := sendCalls(fleet[:3], 40, 20*time.Second)
				require.Less(t, float64(refused), 0.02*float64(len(passed)), "refused of %d", len(passed)+refused)
			})
		})
	}
}

// Guards against tokens that are lost to the account because hosts with little demand keep or drop them.
func TestEvenDemandGetsNearlyTheWholeRate(t *testing.T) {
	const burstTime, span = time.Second, 30 * time.Second
	for _, size := range []int{16, 69} {
		for _, rate := range []float64{25, 50, 150} {
			for _, load := range []float64{0.6, 0.9, 1.1} {
				t.Run(fmt.Sprintf("%d hosts, rate %v, demand %v", size, rate, load), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fleet := newFleet(size, rate, rate*burstTime.Seconds())
						defer startExchange(t, fleet)()
						time.Sleep(10 * time.Second)
						passed, refused := sendCalls(fleet, load*rate, span)
						due := min(load, 1) * rate * span.Seconds()
						require.Greater(t, float64(len(passed)), 0.95*due, "%d refused", refused)
					})
				})
			}
		}
	}
}

func TestTokensKeptAtHostsDoNotAddUpToMoreThanTheBurst(t *testing.T) {
	for _, size := range []int{16, 69} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate, burst = 25.0, 25.0
				fleet := newFleet(size, rate, burst)
				defer startExchange(t, fleet)()
				time.Sleep(10 * time.Second)
				sendCalls(fleet, rate/2, 10*time.Second)
				passed, _ := sendCalls(fleet, 8*rate, 10*time.Second)
				requireWithin(t, passed, rate, burst, 10*time.Second)
			})
		})
	}
}

// requireWithin checks the number of admitted calls in each window against rate and burst.
func requireWithin(t *testing.T, passed []time.Duration, rate, burst float64, span time.Duration) {
	t.Helper()
	const window, step = 5 * time.Second, 100 * time.Millisecond
	for start := time.Duration(0); start < span; start += step {
		count := 0
		for _, at := range passed {
			if at >= start && at < start+window {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), rate*window.Seconds()+burst, "from %s", start)
	}
}

func TestAnIsolatedHostAdmitsItsFractionOfTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(10, 100, 100)
		time.Sleep(5 * time.Second)
		passed, _ := sendCalls(fleet[:1], 50, 10*time.Second)
		require.InDelta(t, 10+10*10, len(passed), 5, "it holds a tenth of the burst and of the rate")
	})
}

func TestNoCallOfALimitedAccountIsAdmittedBeforeTheHostsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sha := tokenshare.New(addressesOf(1)[0])
		sha.Configure([]clientaccount.ClientAccount{{Name: account, Rate: 10, Burst: 10}})
		time.Sleep(time.Minute)
		ref := sha.Take(t.Context(), account)
		require.Equal(t, reason.ShareUnavailable, ref.Reason)
		require.Nil(t, sha.Take(t.Context(), "without a rate"))
		sha.SetHosts(addressesOf(2))
		time.Sleep(time.Second)
		require.Nil(t, sha.Take(t.Context(), account))
	})
}

func TestARefusalSetsRetryAfterAndIsImmediateWhenNoHolderLends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sha := newFleet(20, 10, 10)[0]
		_ = sha.Take(t.Context(), account)
		for range 4 {
			waited := make(chan struct{})
			go func() {
				defer close(waited)
				_ = sha.Take(t.Context(), account)
			}()
			synctest.Wait()
			asks := sha.LoanRequests()
			require.NotEmpty(t, asks)
			require.LessOrEqual(t, len(asks), 2, "holders that are asked at a time")
			for _, asked := range asks {
				sha.Receive(asked, nil)
			}
			<-waited
		}
		began := time.Now()
		ref := sha.Take(t.Context(), account)
		require.Equal(t, reason.RateExceeded, ref.Reason)
		require.Zero(t, time.Since(began))
		require.GreaterOrEqual(t, ref.RetryAfter, time.Second)
	})
}

// Guards against a host that refuses calls within the rate while it does not know the other hosts yet, after its start.
func TestACallAtAHostThatHasJustStartedWaitsUntilTheHostsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sha := tokenshare.New(addressesOf(1)[0])
		sha.Configure([]clientaccount.ClientAccount{{Name: account, Rate: 100, Burst: 100}})
		require.Nil(t, sha.Take(t.Context(), "an account without a rate"))
		refusals := make(chan *refusal.Refusal, 1)
		go func() { refusals <- sha.Take(t.Context(), account) }()
		time.Sleep(600 * time.Millisecond)
		sha.SetHosts(addressesOf(1))
		time.Sleep(10 * time.Millisecond)
		sha.LoanRequests()
		require.Nil(t, <-refusals)
	})
}

func TestAHostThatCannotKnowAnExcessDoesNotReportOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		addresses := addressesOf(8)
		for _, address := range addresses {
			sha := tokenshare.New(address)
			sha.Configure([]clientaccount.ClientAccount{{Name: account, Rate: 4, Burst: 4}})
			ref := sha.Take(t.Context(), account)
			require.Equal(t, reason.ShareUnavailable, ref.Reason, "the hosts are not known")
			require.Equal(t, outcome.NotRun, ref.Outcome)
			require.Less(t, ref.RetryAfter, time.Second)
			sha.SetHosts(addresses)
			asks := sha.LoanRequests()
			ref = sha.Take(t.Context(), account)
			if ref == nil || ref.Reason == reason.RateExceeded {
				continue // the holder of the account's tokens
			}
			require.Equal(t, reason.ShareUnavailable, ref.Reason, "no holder has answered")
			for _, loans := range asks {
				sha.Receive(loans, nil)
			}
			sha.Receive([]loan.Loan{{Account: account, Tokens: 1}}, nil)
			require.Equal(t, reason.RateExceeded, sha.Take(t.Context(), account).Reason, "a holder had none to lend")
		}
	})
}

func TestHostsMayBecomeUnknownAgain(t *testing.T) {
	sha := tokenshare.New(addressesOf(1)[0])
	for _, hosts := range []int{1, 0, 1} {
		sha.SetHosts(addressesOf(hosts))
	}
	require.Nil(t, sha.Take(t.Context(), account), "an account without a rate")
}

// Guards against tokens that were saved under a higher burst and are spent under a lower one, at each holder.
func TestALoweredBurstBindsTheTokensSavedBefore(t *testing.T) {
	const rate, burst = 20, 100
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(4, 400, 400)
		time.Sleep(10 * time.Second)
		for _, sha := range fleet {
			sha.Configure([]clientaccount.ClientAccount{{Name: account, Rate: rate, Burst: burst}})
		}
		began, admitted := time.Now(), 0
		for time.Since(began) < 5*time.Second {
			for _, sha := range fleet {
				if sha.Take(t.Context(), account) == nil {
					admitted++
				}
			}
		}
		require.LessOrEqual(t, float64(admitted), rate*time.Since(began).Seconds()+burst)
	})
}
