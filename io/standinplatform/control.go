package standinplatform

import (
	"encoding/json"
	"net/http"

	"flamingoreach/io/standinplatform/faults"
)

const controlBodyLimit = 64 << 10

// controlHandler serves GET and PUT of /faults and GET of /contents as JSON.
func (pla *Platform) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(wri http.ResponseWriter, _ *http.Request) {
		writeJSON(wri, http.StatusOK, pla.Faults())
	})
	mux.HandleFunc("PUT /faults", func(wri http.ResponseWriter, req *http.Request) {
		var fau faults.Faults
		dec := json.NewDecoder(http.MaxBytesReader(wri, req.Body, controlBodyLimit))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&fau); err != nil {
			http.Error(wri, err.Error(), http.StatusBadRequest)
			return
		}
		pla.SetFaults(fau)
		writeJSON(wri, http.StatusOK, fau)
	})
	mux.HandleFunc("GET /contents", func(wri http.ResponseWriter, _ *http.Request) {
		writeJSON(wri, http.StatusOK, pla.Contents())
	})
	return mux
}

// writeJSON sends a value. It ignores errors of encoding and writing, because the status has been sent by then; the
// client notices the missing or incomplete answer itself.
func writeJSON(wri http.ResponseWriter, status int, value any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(value)
}
