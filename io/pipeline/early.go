package pipeline

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"flamingoreach/charts"
	"flamingoreach/core/machine"
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

// The events of the chart requestAhead.
const (
	returned  = "returned"
	noRoom    = "noRoom"
	turn      = "turn"
	abandoned = "abandoned"
)

var requestAhead = machine.MustNew(charts.MustLoad("requestAhead"),
	[]string{returned, noRoom, turn, abandoned}, nil,
	map[string]func(*early){
		"cancel":       func(ear *early) { ear.cancel() },
		"dropAnswer":   func(ear *early) { ear.body = nil },
		"giveBackRest": func(ear *early) { ear.keepRoom(int64(len(ear.body)) + headerBytes) },
		"giveBackAll":  func(ear *early) { ear.keepRoom(0) },
	})

// early is a request that is run ahead of its turn, and the http.ResponseWriter that keeps its answer until then.
type early struct {
	req    *http.Request
	cancel context.CancelFunc
	room   *room.Room
	// ended is closed when the handler has returned, and panicked is what it panicked with.
	ended    chan struct{}
	panicked any

	// The answer belongs to the goroutine that runs the handler until that has returned.
	header http.Header
	status int
	// dropped is set if there was no room for the answer.
	dropped bool

	mut sync.Mutex
	// state is the state in the chart requestAhead.
	state string
	body  []byte
	// taken is the room that the answer has taken.
	taken int64
}

// fire takes an event of the chart.
func (ear *early) fire(event string) {
	ear.mut.Lock()
	defer ear.mut.Unlock()
	ear.state = requestAhead.Fire(ear, ear.state, event)
}

// end is called when the handler has returned.
func (ear *early) end() {
	ear.cancel()
	ear.fire(returned)
	close(ear.ended)
}

// keepRoom gives back the room beyond a number of bytes.
func (ear *early) keepRoom(bytes int64) {
	rest := max(ear.taken-bytes, 0)
	ear.room.GiveBack(rest)
	ear.taken -= rest
}

// Header returns the header of the answer.
func (ear *early) Header() http.Header { return ear.header }

// WriteHeader sets the status of the answer; informational ones are not kept.
func (ear *early) WriteHeader(status int) {
	if ear.status == 0 && status >= http.StatusOK {
		ear.status = status
	}
}

// Write adds to the body; if there is no room for it, the answer is dropped.
func (ear *early) Write(part []byte) (int, error) {
	ear.WriteHeader(http.StatusOK)
	if ear.dropped || !ear.add(part) {
		if !ear.dropped {
			ear.dropped = true
			ear.fire(noRoom)
		}
		return 0, errNoRoom
	}
	return len(part), nil
}

// add adds to the body and reports whether there was room for it.
func (ear *early) add(part []byte) bool {
	ear.mut.Lock()
	defer ear.mut.Unlock()
	missing := max(int64(len(ear.body)+len(part))+headerBytes-ear.taken, 0)
	if !ear.room.Take(missing) {
		return false
	}
	ear.taken += missing
	if ear.body == nil {
		ear.body = make([]byte, 0, len(part))
	}
	ear.body = append(ear.body, part...)
	return true
}

// send writes the answer at its turn.
func (ear *early) send(wri http.ResponseWriter) {
	header := wri.Header()
	for name, values := range ear.header {
		header[name] = values
	}
	if ear.status != 0 {
		wri.WriteHeader(ear.status)
	}
	if len(ear.body) > 0 {
		_, _ = wri.Write(ear.body)
	}
}
