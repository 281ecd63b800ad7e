package segments

import (
	"errors"
	"io"
	"sync"
)

// Bytes is the size of a segment.
const Bytes = 32 << 10

// maxFree bounds the segments that are kept for use. A sync.Pool would keep some for each processor.
const maxFree = 128

var (
	freeMut sync.Mutex
	free    []*[Bytes]byte
)

func take() *[Bytes]byte {
	freeMut.Lock()
	defer freeMut.Unlock()
	last := len(free) - 1
	if last < 0 {
		return new([Bytes]byte)
	}
	part := free[last]
	free = free[:last]
	return part
}

func release(part *[Bytes]byte) {
	freeMut.Lock()
	defer freeMut.Unlock()
	if len(free) < maxFree {
		free = append(free, part)
	}
}

// List is a body in segments; its zero value is empty. It must not change while it is read.
type List struct {
	parts  []*[Bytes]byte
	length int64
}

// Len returns the number of bytes.
func (lis *List) Len() int64 { return lis.length }

// ReadFrom adds a body until its end, and returns the number of bytes added; it fails with the body's error.
func (lis *List) ReadFrom(body io.Reader) (int64, error) {
	before := lis.length
	for {
		used := int(lis.length % Bytes)
		if used == 0 {
			lis.parts = append(lis.parts, take())
		}
		count, err := body.Read(lis.parts[len(lis.parts)-1][used:])
		lis.length += int64(count)
		if used+count == 0 {
			lis.dropLast()
		}
		if errors.Is(err, io.EOF) {
			return lis.length - before, nil
		}
		if err != nil {
			return lis.length - before, err
		}
	}
}

func (lis *List) dropLast() {
	last := len(lis.parts) - 1
	release(lis.parts[last])
	lis.parts[last] = nil
	lis.parts = lis.parts[:last]
}

// Copy returns the body in contiguous memory.
func (lis *List) Copy() []byte {
	whole := make([]byte, lis.length)
	_, _ = io.ReadFull(lis.NewReader(), whole)
	return whole
}

// NewReader returns a reader of the body from its start.
func (lis *List) NewReader() io.Reader { return &reader{lis: lis} }

// Free empties the list and lets its segments be used again; no reader may be in use.
func (lis *List) Free() {
	for _, part := range lis.parts {
		release(part)
	}
	*lis = List{}
}

// Append moves the segments of another list behind those of this one, whose last segment must be full.
func (lis *List) Append(other *List) {
	lis.parts, lis.length = append(lis.parts, other.parts...), lis.length+other.length
	*other = List{}
}

// PopFirst removes the first segment and returns its bytes and a function that lets it be used again. The list must not be
// empty.
func (lis *List) PopFirst() (part []byte, done func()) {
	first := lis.parts[0]
	count := min(lis.length, Bytes)
	lis.parts[0] = nil
	lis.parts, lis.length = lis.parts[1:], lis.length-count
	return first[:count], func() { release(first) }
}

type reader struct {
	lis    *List
	offset int64
}

// Read reads the next bytes of the body.
func (rea *reader) Read(into []byte) (int, error) {
	if rea.offset >= rea.lis.length {
		return 0, io.EOF
	}
	part := rea.lis.parts[rea.offset/Bytes][rea.offset%Bytes:]
	part = part[:min(int64(len(part)), rea.lis.length-rea.offset)]
	count := copy(into, part)
	rea.offset += int64(count)
	return count, nil
}
