package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// transactionTime is how long a transaction takes.
	transactionTime = 5 * time.Millisecond
	// feedPollInterval is the time between two looks for changes of a request that waits for them.
	feedPollInterval = 10 * time.Millisecond
	// pageRows bounds the rows of one answer.
	pageRows = 500
)

// row is one row of a table of the store.
type row struct {
	TableName     string `json:"tableName"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	RecordVersion uint64 `json:"recordVersion"`
	Deleted       bool   `json:"deleted,omitempty"`
}

func (rw row) sameKey(other row) bool {
	return rw.TableName == other.TableName && rw.Part == other.Part && rw.Key == other.Key
}

// store is the platform's store. While it is down it answers each call with 503, which means that nothing was done. It can
// also turn some machines away and serve the others.
type store struct {
	rec *record

	mut  sync.Mutex
	down bool
	// turnedAway holds the machines whose calls are answered with 429.
	turnedAway map[string]bool
	// following counts the calls of each machine that wait for changes of the configuration.
	following map[string]int
	rows      []row
	changes   []row
	revision  uint64
	started   time.Time
}

func newStore(rec *record) *store {
	return &store{rec: rec, turnedAway: map[string]bool{}, following: map[string]int{}, started: time.Now()}
}

func (sto *store) setDown(down bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.down = down
	sto.rec.say("the store is down: %t", down)
}

// turnAway makes the store answer each call of some machines with 429, or serve them again.
func (sto *store) turnAway(machines []string, away bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for _, name := range machines {
		sto.turnedAway[name] = away
	}
	sto.rec.say("the store turns away %v: %t", machines, away)
}

// followers returns the machines of which a call waits for changes of the configuration.
func (sto *store) followers() []string {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	var names []string
	for name, count := range sto.following {
		if count > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (sto *store) countFollowing(name string, change int) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.following[name] += change
}

// endpoint is the store as one machine reaches it.
type endpoint struct {
	*store
	name string
}

// refusal returns the status with which the store refuses a call, or 0.
func (end *endpoint) refusal() int {
	end.mut.Lock()
	defer end.mut.Unlock()
	switch {
	case end.down:
		return http.StatusServiceUnavailable
	case end.turnedAway[end.name]:
		return http.StatusTooManyRequests
	}
	return 0
}

// putConfiguration writes the configuration as the admin does.
func (sto *store) putConfiguration(text []byte) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.revision++
	sto.writeLocked(row{TableName: "op", Key: "config", Value: text})
}

func (sto *store) writeLocked(changed row) {
	changed.RecordVersion = sto.revision
	sto.rows = slices.DeleteFunc(sto.rows, changed.sameKey)
	if !changed.Deleted {
		sto.rows = append(sto.rows, changed)
	}
	sto.changes = append(sto.changes, changed)
}

// ServeHTTP answers one call.
func (end *endpoint) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if status := end.refusal(); status != 0 {
		end.rec.write("store: %s %s from %s: status %d", req.Method, req.URL, end.name, status)
		wri.WriteHeader(status)
		return
	}
	switch req.URL.Path {
	case "/v1/rows-get":
		end.get(wri, req)
	case "/v1/rows-feed":
		end.feed(wri, req)
	case "/v1/rows-tx":
		end.transact(wri, req)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func (end *endpoint) get(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	table, part, from, until := query.Get("tableName"), query.Get("part"), query.Get("from"), query.Get("target")
	end.mut.Lock()
	found := []row{}
	for _, rw := range end.rows {
		if rw.TableName == table && rw.Part == part && rw.Key >= from && (until == "" || rw.Key < until) {
			found = append(found, rw)
		}
	}
	revision := end.revision
	end.mut.Unlock()
	slices.SortFunc(found, func(rw, other row) int { return cmp.Compare(rw.Key, other.Key) })
	more := len(found) > pageRows
	found = found[:min(len(found), pageRows)]
	end.rec.write("store: rows of %s read from %s: %d", table, end.name, len(found))
	end.reply(wri, http.StatusOK, map[string]any{"rows": found, "hasMore": more, "recordVersion": revision})
}

func (end *endpoint) feed(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	end.countFollowing(end.name, 1)
	defer end.countFollowing(end.name, -1)
	for {
		found, revision := end.changedSince(query.Get("tableName"), after)
		if len(found) > 0 || time.Now().After(until) {
			end.reply(wri, http.StatusOK, map[string]any{"rows": found, "recordVersion": revision})
			return
		}
		if status := end.refusal(); status != 0 {
			wri.WriteHeader(status)
			return
		}
		select {
		case <-time.After(feedPollInterval):
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *store) changedSince(table string, after uint64) ([]row, uint64) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	found := []row{}
	for _, rw := range sto.changes {
		if rw.TableName == table && rw.RecordVersion > after {
			found = append(found, rw)
		}
	}
	return found, sto.revision
}

func (end *endpoint) transact(wri http.ResponseWriter, req *http.Request) {
	var tra struct{ ExpectedRev, Writes, Remove []row }
	if err := json.NewDecoder(req.Body).Decode(&tra); err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(transactionTime)
	end.mut.Lock()
	current := []row{}
	holds := true
	for _, expected := range tra.ExpectedRev {
		version := uint64(0)
		if at := slices.IndexFunc(end.rows, expected.sameKey); at >= 0 {
			version = end.rows[at].RecordVersion
			current = append(current, end.rows[at])
		}
		holds = holds && version == expected.RecordVersion
	}
	if holds {
		end.revision++
		for _, rw := range tra.Writes {
			end.writeLocked(rw)
		}
		for _, rw := range tra.Remove {
			rw.Deleted = true
			end.writeLocked(rw)
		}
	}
	revision := end.revision
	end.mut.Unlock()
	end.rec.write("store: transaction from %s, %d writes, %d removals, applied: %t", end.name, len(tra.Writes), len(tra.Remove), holds)
	if !holds {
		end.reply(wri, http.StatusPreconditionFailed, map[string]any{"rows": current, "recordVersion": revision})
		return
	}
	end.reply(wri, http.StatusOK, map[string]any{"recordVersion": revision})
}

func (sto *store) reply(wri http.ResponseWriter, status int, fields map[string]any) {
	fields["nowMs"] = time.Since(sto.started).Milliseconds()
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(fields)
}
