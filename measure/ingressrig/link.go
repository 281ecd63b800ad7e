package ingressrig

import (
	"context"
	"sync"
	"time"
)

// One-way delays between two hosts; callerDelay is that between a caller and a host.
const (
	callerDelay           = time.Millisecond
	withinDataCentreDelay = 50 * time.Microsecond
	withinRegionDelay     = time.Millisecond
	betweenRegionsDelay   = 8 * time.Millisecond
)

// link simulates the network. All messages from one region to the other share the bandwidth of that direction.
type link struct {
	bytesPerSecond float64
	// partitioned reports whether all messages between the regions are lost.
	partitioned func() bool

	mut sync.Mutex
	// freeAt holds, by region, the time at which all messages that left the region so far are sent.
	freeAt map[string]time.Time
}

// carry blocks until a message from one data centre has arrived at another, or returns the context's error. It adds
// the request's own offset to the delay, so that no two messages arrive at the same instant: their order would be
// random.
func (lin *link) carry(ctx context.Context, from, to DataCentre, size int, offset time.Duration) error {
	switch {
	case from.Name == to.Name:
		return sleep(ctx, withinDataCentreDelay+offset)
	case from.Region == to.Region:
		return sleep(ctx, withinRegionDelay+offset)
	case lin.partitioned():
		<-ctx.Done()
		return ctx.Err()
	}
	return sleep(ctx, betweenRegionsDelay+offset+lin.transmissionDelay(from.Region, size))
}

// transmissionDelay queues a message on the link out of a region and returns the time until the whole message is sent.
func (lin *link) transmissionDelay(region string, size int) time.Duration {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	now := time.Now()
	start := lin.freeAt[region]
	if start.Before(now) {
		start = now
	}
	lin.freeAt[region] = start.Add(time.Duration(float64(size) / lin.bytesPerSecond * float64(time.Second)))
	return lin.freeAt[region].Sub(now)
}

func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
