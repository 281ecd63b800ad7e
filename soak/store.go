package soak

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// row is one row of the stand-in of the platform's store.
type row struct {
	TableName     string `json:"tableName"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	RecordVersion uint64 `json:"recordVersion"`
	Deleted       bool   `json:"deleted,omitempty"`
}

// store keeps rows in memory and notes their changes.
type store struct {
	mut     sync.Mutex
	rows    map[string]row
	changes []row
	version uint64
	oldest  uint64
}

func newStore() *store { return &store{rows: map[string]row{}} }

func (sto *store) write(changed row) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.version++
	changed.RecordVersion = sto.version
	if changed.Deleted {
		delete(sto.rows, changed.TableName+"/"+changed.Key)
	} else {
		sto.rows[changed.TableName+"/"+changed.Key] = changed
	}
	sto.changes = append(sto.changes, changed)
}

// forget drops the history of changes.
func (sto *store) forget() {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.changes, sto.oldest = nil, sto.version+1
}

// The ways in which a door misbehaves.
const (
	well    = "well"
	refuses = "refuses"
	silent  = "silent"
	resets  = "resets"
	slow    = "slow"
	loses   = "loses"
)

const (
	slowTime   = 300 * time.Millisecond
	silentTime = 5 * time.Second
	pollTime   = 10 * time.Millisecond
)

// door is the store as one host sees it.
type door struct {
	store *store

	mut sync.Mutex
	way string
}

func (doo *door) set(way string) {
	doo.mut.Lock()
	defer doo.mut.Unlock()
	doo.way = way
}

func (doo *door) get() string {
	doo.mut.Lock()
	defer doo.mut.Unlock()
	return doo.way
}

func (doo *door) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	way := doo.get()
	switch way {
	case refuses:
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	case silent:
		pause(req, silentTime)
		panic(http.ErrAbortHandler)
	case resets:
		panic(http.ErrAbortHandler)
	case slow:
		pause(req, slowTime)
	}
	switch req.URL.Path {
	case "/v1/rows-get":
		doo.read(wri, req)
	case "/v1/rows-feed":
		doo.feed(wri, req)
	case "/v1/rows-tx":
		doo.transact(wri, req, way == loses)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func pause(req *http.Request, span time.Duration) {
	select {
	case <-time.After(span):
	case <-req.Context().Done():
	}
}

func (doo *door) read(wri http.ResponseWriter, req *http.Request) {
	sto := doo.store
	sto.mut.Lock()
	var rows []row
	for _, row := range sto.rows {
		if row.TableName == req.URL.Query().Get("tableName") {
			rows = append(rows, row)
		}
	}
	version := sto.version
	sto.mut.Unlock()
	reply(wri, map[string]any{"rows": rows, "recordVersion": version})
}

func (doo *door) feed(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, known := doo.store.since(query.Get("tableName"), after)
		switch {
		case !known:
			wri.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || time.Now().After(until):
			reply(wri, map[string]any{"rows": rows, "recordVersion": version})
			return
		case doo.get() == resets || doo.get() == refuses:
			panic(http.ErrAbortHandler)
		}
		pause(req, pollTime)
		if req.Context().Err() != nil {
			return
		}
	}
}

func (sto *store) since(table string, after uint64) (rows []row, version uint64, known bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for _, row := range sto.changes {
		if row.RecordVersion > after && row.TableName == table {
			rows = append(rows, row)
		}
	}
	return rows, sto.version, after+1 >= sto.oldest
}

func (doo *door) transact(wri http.ResponseWriter, req *http.Request, lose bool) {
	var tra struct{ Writes, Remove []row }
	if json.NewDecoder(req.Body).Decode(&tra) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range tra.Writes {
		doo.store.write(written)
	}
	for _, removed := range tra.Remove {
		removed.Deleted = true
		doo.store.write(removed)
	}
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(wri, map[string]any{"recordVersion": 1})
}

func reply(wri http.ResponseWriter, value any) {
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(value)
}
