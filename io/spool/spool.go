package spool

import (
	"context"
	"io"
	"sync"

	"flamingoreach/io/room"
	"flamingoreach/io/segments"
)

// Spool holds the part of a body that was read and not yet written. One goroutine calls Fill, Pass and End, another Write.
type Spool struct {
	hol *room.Holder

	mut  sync.Mutex
	held segments.List
	// ended is set by End, with the error that the rest of the body is missing for, or nil.
	ended bool
	err   error
	// changed receives a value when the fields above have changed.
	changed chan struct{}
}

// New returns an empty spool that takes its room by a holder.
func New(hol *room.Holder) *Spool { return &Spool{hol: hol, changed: make(chan struct{}, 1)} }

// Fill reads a body until its end, until a number of bytes is held, or until there is no room, and reports whether the body
// has ended. It fails with the body's error.
func (spo *Spool) Fill(body io.Reader, bytes int64) (whole bool, err error) {
	for spo.hol.Held() < bytes && spo.hol.Take(segments.Bytes) {
		if whole, err = spo.read(body); whole || err != nil {
			return whole, err
		}
	}
	return false, nil
}

// Pass reads the rest of a body, each part once there is room for it. It fails with the body's error or the context's.
func (spo *Spool) Pass(ctx context.Context, body io.Reader) error {
	for {
		if err := spo.hol.Await(ctx, segments.Bytes); err != nil {
			return err
		}
		if whole, err := spo.read(body); whole || err != nil {
			return err
		}
	}
}

// read reads one segment, for which room was taken, and reports whether the body has ended.
func (spo *Spool) read(body io.Reader) (whole bool, err error) {
	var part segments.List
	count, err := part.ReadFrom(io.LimitReader(body, segments.Bytes))
	if err != nil {
		part.Free()
		return false, err
	}
	spo.mut.Lock()
	spo.held.Append(&part)
	spo.mut.Unlock()
	spo.signal()
	if count < segments.Bytes {
		// Room is taken and given back in whole segments, of which an empty one is none.
		if count == 0 {
			spo.hol.GiveBack(segments.Bytes)
		}
		return true, nil
	}
	return false, nil
}

// Len returns the number of bytes that are held.
func (spo *Spool) Len() int64 {
	spo.mut.Lock()
	defer spo.mut.Unlock()
	return spo.held.Len()
}

// End says that no more is read: the body is whole, or its rest is missing because of an error.
func (spo *Spool) End(err error) {
	spo.mut.Lock()
	spo.ended, spo.err = true, err
	spo.mut.Unlock()
	spo.signal()
}

func (spo *Spool) signal() {
	select {
	case spo.changed <- struct{}{}:
	default:
	}
}

// Write writes the body until its end and gives back the room of each part that was written. It fails with the error of the
// writer, of the context or of End; the client must then notice that the body is cut.
func (spo *Spool) Write(ctx context.Context, wri io.Writer) error {
	for {
		part, release, err := spo.next(ctx)
		if part == nil || err != nil {
			return err
		}
		_, err = wri.Write(part)
		release()
		spo.hol.Advance(int64(len(part)))
		spo.hol.GiveBack(segments.Bytes)
		if err != nil {
			return err
		}
	}
}

// next waits for the next part; it returns nil at the end of the body.
func (spo *Spool) next(ctx context.Context) (part []byte, release func(), err error) {
	for {
		spo.mut.Lock()
		switch {
		case spo.err != nil:
			err = spo.err
		case spo.held.Len() > 0:
			part, release = spo.held.PopFirst()
		case !spo.ended:
			spo.mut.Unlock()
			select {
			case <-spo.changed:
				continue
			case <-ctx.Done():
				return nil, nil, ctx.Err()
			}
		}
		spo.mut.Unlock()
		return part, release, err
	}
}

// Close frees what is held; no other method may run or be called any more. The holder must be closed too.
func (spo *Spool) Close() { spo.held.Free() }
