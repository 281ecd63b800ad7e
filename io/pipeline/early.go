package pipeline

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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

// The events of the chart requestAhead.
const (
	returned  = "returned"
	noRoom    = "noRoom"
	turn      = "turn"
	gaveUp    = "gaveUp"
	abandoned = "abandoned"
)

// The states that decide what happens at a turn.
const (
	passing = "passing"
	cut     = "cut"
)

var requestAhead = machine.MustNew(charts.MustLoad("requestAhead"),
	[]string{returned, noRoom, turn, gaveUp, abandoned}, nil,
	map[string]func(*early){
		"cancel":        func(ear *early) { ear.cancel() },
		"reportBlocked": func(ear *early) { close(ear.blocked) },
		"giveBackRest":  func(ear *early) { ear.keepRoom(int64(len(ear.body)) + headerBytes) },
		"giveBackAll": func(ear *early) {
			ear.body = nil
			ear.keepRoom(0)
		},
	})

// early is a request that is run ahead of its turn, and the http.ResponseWriter that keeps its answer until then.
type early struct {
	req    *http.Request
	cancel context.CancelFunc
	room   *room.Room
	// ended is closed when the handler has returned, and panicked is what it panicked with.
	ended    chan struct{}
	panicked any
	// blocked is closed when the handler waits for its turn, and unblocked when it may write to out, which is set at its turn.
	blocked, unblocked chan struct{}
	out                atomic.Pointer[output]

	// The answer belongs to the goroutine that runs the handler until that has returned or waits.
	header http.Header
	status int
	// lost is set once a Write has given up.
	lost error

	mut sync.Mutex
	// state is the state in the chart requestAhead.
	state string
	body  []byte
	// taken is the room that the answer has taken.
	taken int64
}

// output is where an answer is written at its turn.
type output struct{ http.ResponseWriter }

// fire takes an event of the chart.
func (ear *early) fire(event string) {
	ear.mut.Lock()
	defer ear.mut.Unlock()
	ear.state = requestAhead.Fire(ear, ear.state, event)
}

// isCut reports whether the handler returned before it could write the whole answer.
func (ear *early) isCut() bool {
	ear.mut.Lock()
	defer ear.mut.Unlock()
	return ear.state == cut
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

// Write adds to the body. If there is no room for it, Write waits for the request's turn and writes to the connection.
func (ear *early) Write(part []byte) (int, error) {
	ear.WriteHeader(http.StatusOK)
	if ear.lost != nil {
		return 0, ear.lost
	}
	if ear.add(part) {
		return len(part), nil
	}
	ear.fire(noRoom)
	select {
	case <-ear.unblocked:
		return ear.out.Load().Write(part)
	case <-ear.req.Context().Done():
	}
	ear.lost = ear.req.Context().Err()
	ear.fire(gaveUp)
	if ear.out.Load() != nil {
		// What is kept is being written, and with it the header.
		<-ear.unblocked
	}
	return 0, ear.lost
}

// SetWriteDeadline ends a Write that waits, and at the request's turn sets the deadline of the connection. It is for
// deadlines that have passed, with which an answer is given up.
func (ear *early) SetWriteDeadline(deadline time.Time) error {
	ear.cancel()
	if out := ear.out.Load(); out != nil {
		return http.NewResponseController(out.ResponseWriter).SetWriteDeadline(deadline)
	}
	return nil
}

// pass writes what is kept of an answer whose handler waits, at its turn, and lets the handler write the rest. It reports
// whether the handler was still waiting.
func (ear *early) pass(wri http.ResponseWriter) bool {
	ear.mut.Lock()
	if ear.state = requestAhead.Fire(ear, ear.state, turn); ear.state != passing {
		ear.mut.Unlock()
		return false
	}
	ear.out.Store(&output{wri})
	ear.mut.Unlock()
	ear.send(wri)
	ear.mut.Lock()
	defer ear.mut.Unlock()
	ear.body = nil
	ear.keepRoom(0)
	close(ear.unblocked)
	return true
}

// add adds to the body and reports whether there was room for it; once there was none, the rest waits.
func (ear *early) add(part []byte) bool {
	ear.mut.Lock()
	defer ear.mut.Unlock()
	select {
	case <-ear.blocked:
		return false
	default:
	}
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

// send writes what is kept of the answer at its turn.
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
