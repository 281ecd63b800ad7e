package standinplatform

import (
	"io"
	"net/http"
	"strconv"

	"flamingoreach/io/standinplatform/faults"
)

const (
	objectBodyLimit = 64 << 20
	noSuchKey       = `<?xml version="1.0" encoding="UTF-8"?><Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>`
)

func objectOutage(fau faults.Faults) bool { return fau.ObjectOutage }

// objectHandler serves PUT, GET and HEAD of /bucket/name, always for the complete object.
func (pla *Platform) objectHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /{bucket}/{name...}", pla.putObject)
	mux.HandleFunc("GET /{bucket}/{name...}", pla.getObject)
	return mux
}

func objectName(req *http.Request) string {
	return req.PathValue("bucket") + "/" + req.PathValue("name")
}

func (pla *Platform) putObject(wri http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, objectBodyLimit))
	if err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	pla.applyRequestFaults(req, objectOutage)
	pla.writes.Add(1)
	pla.mutex.Lock()
	pla.objects[objectName(req)] = body
	pla.mutex.Unlock()
	pla.applyAnswerFaults()
	wri.WriteHeader(http.StatusOK)
}

// getObject also answers HEAD requests, for which net/http omits the body.
func (pla *Platform) getObject(wri http.ResponseWriter, req *http.Request) {
	pla.applyRequestFaults(req, objectOutage)
	pla.reads.Add(1)
	pla.mutex.Lock()
	body, found := pla.objects[objectName(req)]
	pla.mutex.Unlock()
	if !found {
		wri.Header().Set("Content-Type", "application/xml")
		wri.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(wri, noSuchKey)
		return
	}
	wri.Header().Set("Content-Type", "application/octet-stream")
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = wri.Write(body)
}
