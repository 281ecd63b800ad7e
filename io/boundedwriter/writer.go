package boundedwriter

import (
	"context"
	"io"
	"sync/atomic"
)

// Writer queues whole lines for its output and drops lines while the queue is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a writer whose queue holds the given number of lines.
func New(out io.Writer, capacity int) *Writer {
	return &Writer{out: out, lines: make(chan []byte, capacity)}
}

// Write queues a copy of one line, or drops and counts it if the queue is full; it never fails.
func (wri *Writer) Write(line []byte) (int, error) {
	select {
	case wri.lines <- append([]byte(nil), line...):
	default:
		wri.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (wri *Writer) Dropped() uint64 { return wri.dropped.Load() }

// Run writes lines until the context ends, and then those still queued; it fails with the output's error.
func (wri *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-wri.lines:
			if _, err := wri.out.Write(line); err != nil {
				return err
			}
		case <-ctx.Done():
			return wri.flush()
		}
	}
}

func (wri *Writer) flush() error {
	for {
		select {
		case line := <-wri.lines:
			if _, err := wri.out.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}
