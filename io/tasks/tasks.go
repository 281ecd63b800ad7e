package tasks

import (
	"context"
	"sync/atomic"
)

// Tasks runs tasks on a bounded number of goroutines, which Run starts and waits for.
type Tasks struct {
	queue   chan func(ctx context.Context)
	ended   chan struct{}
	limit   int
	dropped atomic.Uint64
}

// New returns a Tasks that runs at most limit tasks at a time and queues up to limit more.
func New(limit int) *Tasks {
	return &Tasks{queue: make(chan func(ctx context.Context), limit), ended: make(chan struct{}), limit: limit}
}

// Start queues a task, which must end when its context ends. If the queue is full, it counts the task as dropped and
// returns false.
func (tas *Tasks) Start(task func(ctx context.Context)) bool {
	select {
	case tas.queue <- task:
		return true
	default:
		tas.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of tasks that Start refused.
func (tas *Tasks) Dropped() uint64 { return tas.dropped.Load() }

// Run starts queued tasks until the context ends, waits for those that are running and returns nil.
func (tas *Tasks) Run(ctx context.Context) error {
	running := 0
	for {
		queue := tas.queue
		if running == tas.limit {
			queue = nil
		}
		select {
		case task := <-queue:
			running++
			go func() { task(ctx); tas.ended <- struct{}{} }()
		case <-tas.ended:
			running--
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-tas.ended
			}
			return nil
		}
	}
}
