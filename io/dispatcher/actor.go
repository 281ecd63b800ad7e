package dispatcher

import (
	"context"
	"time"

	"github.com/oklog/run"
)

// AddActor adds a loop that runs until the group is interrupted. The loop gets a context of its own, because it must
// still run during a drain, which begins when the context of the group's owner ends.
func AddActor(group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// Wait returns after the given time, or when the context ends.
func Wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
