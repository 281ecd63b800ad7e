package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/processortime"
	"flamingoreach/platform/standin"
)

const (
	benchmarkKey  = "key-of-bank-a"
	benchmarkHost = "bench.example"
	startTime     = 10 * time.Second
	// answerBytes is the size of a typical answer.
	answerBytes = 5000
	// settleTime is longer than nodes need to discover each other.
	settleTime = 5 * time.Second
)

// answersAtOnce makes a backend server answer each request at once.
func answersAtOnce(bac *standin.BackendServer) { bac.AnswerBytes = answerBytes }

// BenchmarkCallAcrossHosts makes one call after the other from a host to the backend server of another one, through both
// nodes. Both run in this process, assembled as in the program, so that -cpuprofile shows where a call's time goes.
func BenchmarkCallAcrossHosts(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	sto := standin.NewStore()
	sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
	endpoint := httptest.NewServer(sto.NewEndpoint())
	defer endpoint.Close()
	store := netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://"))
	caller := startHost(ctx, b, store, "quotes", answersAtOnce).set.Callers
	startHost(ctx, b, store, "confirms", answersAtOnce)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	ask := func(number int) int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+caller.String()+"/confirms/1", http.NoBody)
		require.NoError(b, err)
		req.Host = benchmarkHost
		req.Header.Set("Attempt-Id", fmt.Sprint("attempt-", number))
		req.Header.Set("Deadline-Ms", "5000")
		req.Header.Set("Authorization", "Bearer "+benchmarkKey)
		res, err := client.Do(req)
		if err != nil {
			return 0
		}
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(b, err)
		require.NoError(b, res.Body.Close())
		return res.StatusCode
	}
	require.Eventually(b, func() bool { return ask(0) == http.StatusOK }, startTime, 20*time.Millisecond)
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		require.Equal(b, http.StatusOK, ask(number))
	}
}

// BenchmarkIdleFleet measures the processor time that nodes without calls use, as the number of hosts grows.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{4, 16, 64} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			sto := standin.NewStore()
			sto.PutConfiguration(standin.Configuration(1, benchmarkHost, "quotes", standin.Account{Name: "bank-a", Keys: []string{benchmarkKey}, Rate: 5000, Burst: 5000}))
			endpoint := httptest.NewServer(sto.NewEndpoint())
			defer endpoint.Close()
			for number := range size {
				startHost(ctx, b, netip.MustParseAddrPort(strings.TrimPrefix(endpoint.URL, "http://")), []string{"quotes", "confirms"}[number%2], answersAtOnce)
			}
			defer cancel()
			time.Sleep(settleTime)
			before := processorTime(b)
			rounds := 0
			for ; b.Loop(); rounds++ {
				time.Sleep(time.Second)
			}
			used := processorTime(b) - before
			b.ReportMetric(used.Seconds()*1000/float64(rounds*size), "ms/host/s")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	used, err := processortime.OfProcess()
	require.NoError(b, err)
	return used
}
