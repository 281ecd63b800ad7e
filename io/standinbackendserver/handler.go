package standinbackendserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	maxControlBodyBytes = 64 << 10
	drainTimeout        = 5 * time.Second
)

// Handler serves the endpoints /health, /load, /record, /behaviour and /drain, and requests at all other paths.
func (bas *BackendServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", bas.serveHealth)
	mux.HandleFunc("GET /load", bas.serveLoad)
	mux.HandleFunc("GET /record", func(wri http.ResponseWriter, _ *http.Request) { writeJSON(wri, http.StatusOK, bas.Record()) })
	mux.HandleFunc("GET /behaviour", func(wri http.ResponseWriter, _ *http.Request) {
		writeJSON(wri, http.StatusOK, bas.Behaviour())
	})
	mux.HandleFunc("PUT /behaviour", bas.putBehaviour)
	mux.HandleFunc("POST /drain", bas.serveDrain)
	mux.HandleFunc("/", bas.serveRequest)
	return mux
}

// healthAnswer is the body of the answer of /health.
type healthAnswer struct {
	State    string    `json:"state"`
	Measured time.Time `json:"measured"`
}

// loadAnswer is the body of the answer of /load.
type loadAnswer struct {
	Load     float64   `json:"load"`
	Measured time.Time `json:"measured"`
}

func (bas *BackendServer) serveHealth(wri http.ResponseWriter, _ *http.Request) {
	rep := bas.delayedReport.Load()
	answer := healthAnswer{State: rep.state, Measured: rep.measured}
	if state := bas.Behaviour().FalseHealth; state != "" {
		answer = healthAnswer{State: state, Measured: time.Now()}
	}
	status := http.StatusOK
	if answer.State == stateDraining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(wri, status, answer)
}

func (bas *BackendServer) serveLoad(wri http.ResponseWriter, _ *http.Request) {
	rep := bas.delayedReport.Load()
	answer := loadAnswer{Load: rep.load, Measured: rep.measured}
	if value := bas.Behaviour().FalseLoad; value != nil {
		answer = loadAnswer{Load: *value, Measured: time.Now()}
	}
	writeJSON(wri, http.StatusOK, answer)
}

func (bas *BackendServer) putBehaviour(wri http.ResponseWriter, htr *http.Request) {
	beh := bas.Behaviour()
	dec := json.NewDecoder(http.MaxBytesReader(wri, htr.Body, maxControlBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&beh)
	if err == nil {
		err = bas.SetBehaviour(beh)
	}
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(wri, http.StatusOK, bas.Behaviour())
}

func (bas *BackendServer) serveDrain(wri http.ResponseWriter, htr *http.Request) {
	ctx, cancel := context.WithTimeout(htr.Context(), drainTimeout)
	defer cancel()
	if err := bas.Drain(ctx); err != nil {
		http.Error(wri, err.Error(), http.StatusServiceUnavailable)
		return
	}
	wri.WriteHeader(http.StatusNoContent)
}

// writeJSON sends a value. It ignores write errors, because the client notices the broken connection itself.
func writeJSON(wri http.ResponseWriter, status int, value any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(value)
}
