package pipeline

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"flamingoreach/io/room"
)

const (
	// answerBytes is the room that a request takes before it is run ahead. Most answers need no more; what an answer leaves
	// is given back.
	answerBytes = 64 << 10
	// headerBytes is what the header of an answer, the request and the goroutine are taken to need.
	headerBytes = 4 << 10
)

var errNoRoom = errors.New("there is no room for the answer")

// The states of a request that is run ahead.
const (
	running int32 = iota
	finished
	abandoned
)

// early is a request that is run ahead of its turn.
type early struct {
	req    *http.Request
	cancel context.CancelFunc
	answer bufferedAnswer
	// ended is closed when the handler has returned, and panicked is what it panicked with.
	ended    chan struct{}
	panicked any
	state    atomic.Int32
}

// end is called when the handler has returned.
func (ear *early) end() {
	ear.cancel()
	ear.answer.settle()
	if !ear.state.CompareAndSwap(running, finished) {
		ear.answer.release()
	}
	close(ear.ended)
}

// abandon cancels a request whose answer will not be sent. It is called at most once, and not at the request's turn.
func (ear *early) abandon() {
	ear.cancel()
	if !ear.state.CompareAndSwap(running, abandoned) {
		ear.answer.release()
	}
}

// bufferedAnswer is an http.ResponseWriter that keeps an answer until its turn.
type bufferedAnswer struct {
	room *room.Room
	// taken is the room that the answer has taken.
	taken  int64
	header http.Header
	status int
	body   []byte
	// dropped is set if there was no room for the answer.
	dropped bool
}

// Header returns the header of the answer.
func (ans *bufferedAnswer) Header() http.Header { return ans.header }

// WriteHeader sets the status of the answer; informational ones are not kept.
func (ans *bufferedAnswer) WriteHeader(status int) {
	if ans.status == 0 && (status >= http.StatusOK || status == http.StatusSwitchingProtocols) {
		ans.status = status
	}
}

// Write adds to the body; if there is no room for it, the answer is dropped.
func (ans *bufferedAnswer) Write(part []byte) (int, error) {
	ans.WriteHeader(http.StatusOK)
	if missing := int64(len(ans.body)+len(part)) + headerBytes - ans.taken; missing > 0 && !ans.dropped {
		if ans.room.Take(missing) {
			ans.taken += missing
		} else {
			ans.dropped, ans.body = true, nil
		}
	}
	if ans.dropped {
		return 0, errNoRoom
	}
	if ans.body == nil {
		ans.body = make([]byte, 0, len(part))
	}
	ans.body = append(ans.body, part...)
	return len(part), nil
}

// settle gives back the room that the complete answer does not need.
func (ans *bufferedAnswer) settle() {
	left := ans.taken - int64(len(ans.body)) - headerBytes
	ans.room.GiveBack(left)
	ans.taken -= max(left, 0)
}

func (ans *bufferedAnswer) release() {
	ans.room.GiveBack(ans.taken)
	ans.taken, ans.body = 0, nil
}

// send writes the answer at its turn.
func (ans *bufferedAnswer) send(wri http.ResponseWriter) {
	header := wri.Header()
	for name, values := range ans.header {
		header[name] = values
	}
	if ans.status != 0 {
		wri.WriteHeader(ans.status)
	}
	if len(ans.body) > 0 {
		_, _ = wri.Write(ans.body)
	}
}
