package localfleet_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"flamingoreach/io/standinbackendserver/behaviour"
)

// BenchmarkAddedTime calls a backend server directly and through two nodes, alternating in one run, and reports by how
// much the nodes increase the 50th and 99th percentile of the response time.
func BenchmarkAddedTime(b *testing.B) {
	fix := start(b, behaviour.Behaviour{Slots: 64, QueueLength: 64})
	direct := fix.BackendServers[1].Address()
	through := fix.Nodes[0].Addresses().Callers
	directTimes := hdrhistogram.New(1, int64(time.Second), 3)
	throughTimes := hdrhistogram.New(1, int64(time.Second), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	for b.Loop() {
		require.NoError(b, directTimes.RecordValue(int64(timeCall(b, client, direct))))
		require.NoError(b, throughTimes.RecordValue(int64(timeCall(b, client, through))))
	}
	for _, quantile := range []struct {
		percentile float64
		name       string
	}{{50, "added-p50-ns"}, {99, "added-p99-ns"}} {
		added := throughTimes.ValueAtPercentile(quantile.percentile) - directTimes.ValueAtPercentile(quantile.percentile)
		b.ReportMetric(float64(added), quantile.name)
	}
}

func timeCall(b *testing.B, client *http.Client, address netip.AddrPort) time.Duration {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address.String()+"/confirms", nil)
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+key)
	started := time.Now()
	res, err := client.Do(req)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(b, err)
	elapsed := time.Since(started)
	require.NoError(b, res.Body.Close())
	require.Equal(b, http.StatusOK, res.StatusCode)
	return elapsed
}
