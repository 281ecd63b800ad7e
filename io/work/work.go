package work

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"flamingoreach/core/control"
	"flamingoreach/core/event"
	"flamingoreach/io/tasks"
)

var errTooManyTasks = errors.New("too many tasks wait")

// Work hands requests to goroutines and their results to the control thread.
type Work struct {
	Control *control.Thread
	Tasks   *tasks.Tasks
	// Log receives a line for each request that failed and each event that was lost.
	Log *log.Logger
}

// Result is what a trace keeps of an answer.
type Result[T any] struct {
	Value T      `json:"value"`
	Error string `json:"error,omitempty"`
}

// Event returns an event for the control thread.
func Event(name string, data any, apply func()) event.Event {
	return event.Event{Name: name, Data: data, Apply: apply}
}

// Start runs a blocking request on another goroutine and hands its result to the control thread.
func Start[T any](wor *Work, name string, timeout time.Duration, request func(ctx context.Context) (T, error), done func(value T, err error)) {
	started := wor.Tasks.Start(func(root context.Context) {
		ctx, cancel := context.WithTimeout(root, timeout)
		defer cancel()
		value, err := request(ctx)
		kept := Result[T]{Value: value}
		if err != nil {
			kept.Error = err.Error()
			wor.Log.Debug("request failed", "step", name, "error", kept.Error)
		}
		wor.Post(root, name, kept, func() { done(value, err) })
	})
	if !started {
		var nothing T
		wor.Control.Offer(Event(name, nil, func() { done(nothing, errTooManyTasks) }))
	}
}

// Post hands an event to the control thread; it is lost only when the process ends.
func (wor *Work) Post(ctx context.Context, name string, data any, apply func()) {
	if err := wor.Control.Post(ctx, Event(name, data, apply)); err != nil {
		wor.Log.Debug("event lost", "event", name, "error", err)
	}
}

// OnControl applies a function on the control thread and returns its value; it fails with the context's error.
func OnControl[T any](ctx context.Context, wor *Work, name string, data any, apply func() T) (T, error) {
	values := make(chan T, 1)
	err := wor.Control.Post(ctx, Event(name, data, func() { values <- apply() }))
	if err == nil {
		select {
		case value := <-values:
			return value, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	var nothing T
	return nothing, err
}
