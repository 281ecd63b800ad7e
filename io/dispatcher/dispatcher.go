package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"flamingoreach/core/control"
	"flamingoreach/core/event"
	"flamingoreach/io/tasks"
)

var errTooManyTasks = errors.New("too many tasks are waiting")

// Dispatcher runs requests on other goroutines and passes their results to the control thread.
type Dispatcher struct {
	Control *control.Thread
	Tasks   *tasks.Tasks
	// Log receives a line for each request that failed and each event that the control thread did not accept.
	Log *log.Logger
}

// Result is the form in which a trace records the result of a request.
type Result[T any] struct {
	Value T      `json:"value"`
	Error string `json:"error,omitempty"`
}

// Event returns an event for the control thread; data is what a trace records of it.
func Event(name string, data any, apply func()) event.Event {
	return event.Event{Name: name, Data: data, Apply: apply}
}

// Start runs a blocking request on another goroutine and calls done with its result on the control thread. If too many
// tasks are waiting, the request does not run, and done gets an error if the control thread has room for the event.
func Start[T any](dis *Dispatcher, name string, timeout time.Duration, request func(ctx context.Context) (T, error), done func(value T, err error)) {
	started := dis.Tasks.Start(func(root context.Context) {
		ctx, cancel := context.WithTimeout(root, timeout)
		defer cancel()
		value, err := request(ctx)
		recorded := Result[T]{Value: value}
		if err != nil {
			recorded.Error = err.Error()
			dis.Log.Debug("request failed", "step", name, "error", recorded.Error)
		}
		dis.Post(root, name, recorded, func() { done(value, err) })
	})
	if !started {
		var zero T
		dis.Control.Offer(Event(name, nil, func() { done(zero, errTooManyTasks) }))
	}
}

// Post passes an event to the control thread and waits while its queue is full; the event is lost only if the context
// ends.
func (dis *Dispatcher) Post(ctx context.Context, name string, data any, apply func()) {
	if err := dis.Control.Post(ctx, Event(name, data, apply)); err != nil {
		dis.Log.Debug("event lost", "event", name, "error", err)
	}
}

// OnControl calls a function on the control thread and returns its value; it fails with the context's error.
func OnControl[T any](ctx context.Context, dis *Dispatcher, name string, data any, apply func() T) (T, error) {
	values := make(chan T, 1)
	err := dis.Control.Post(ctx, Event(name, data, func() { values <- apply() }))
	if err == nil {
		select {
		case value := <-values:
			return value, nil
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	var zero T
	return zero, err
}
