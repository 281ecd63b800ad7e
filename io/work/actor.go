package work

import (
	"context"
	"time"

	"github.com/oklog/run"
)

// AddActor runs a loop until the group is interrupted. The loop gets a context of its own, so that it serves a drain
// which begins when the context of the group's owner ends.
func AddActor(group *run.Group, loop func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// Wait returns after a span, or when the context ends.
func Wait(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
