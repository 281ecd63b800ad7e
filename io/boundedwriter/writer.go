package boundedwriter

import (
	"context"
	"io"
	"sync/atomic"
)

// Writer passes on whole lines and drops those for which there is no room.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a writer with room for a number of lines that wait.
func New(out io.Writer, room int) *Writer {
	return &Writer{out: out, lines: make(chan []byte, room)}
}

// Write hands over a copy of one line, or drops and counts it; it never fails.
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

// Run writes lines until the context ends, and then those that wait; it fails with the output's error.
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
