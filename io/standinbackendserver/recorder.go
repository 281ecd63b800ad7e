package standinbackendserver

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"flamingoreach/io/echo"
	"flamingoreach/io/standinbackendserver/record"
)

// Bounds of the record, which would otherwise grow with the length of a run; entries beyond them count as Overflow.
const (
	maxTexts          = 200_000
	maxCounterEntries = 1_000_000
)

// recorder holds the record of the stand-in; the goroutines that serve requests update it under the mutex.
type recorder struct {
	mutex  sync.Mutex
	record record.Record
	texts  map[string]bool
}

func newRecorder() *recorder {
	return &recorder{
		texts:  map[string]bool{},
		record: record.Record{Executions: map[string]int{}, Digests: map[string]int{}, RequestIDs: map[string]int{}},
	}
}

// count applies a change to the record while it holds the mutex.
func (rec *recorder) count(change func(rec *record.Record)) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	change(&rec.record)
}

func (rec *recorder) recordRequest(htr *http.Request) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.record.Requests++
	rec.recordText(htr.URL.RequestURI())
	for name, values := range htr.Header {
		for _, value := range values {
			rec.recordText(name + ": " + value)
		}
	}
}

func (rec *recorder) recordText(text string) {
	switch {
	case rec.texts[text]:
	case len(rec.texts) >= maxTexts:
		rec.record.Overflow++
	default:
		rec.texts[text] = true
	}
}

func (rec *recorder) recordExecution(ans echo.Echo) {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	rec.record.Executed++
	rec.increment(rec.record.Executions, ans.CallID)
	rec.increment(rec.record.Digests, ans.Digest)
	if ans.RequestID != "" {
		rec.increment(rec.record.RequestIDs, ans.RequestID)
	}
}

func (rec *recorder) increment(counts map[string]int, name string) {
	if _, known := counts[name]; !known && len(counts) >= maxCounterEntries {
		rec.record.Overflow++
		return
	}
	counts[name]++
}

// snapshot returns a copy of the record, with the given lifecycle state and the sorted texts.
func (rec *recorder) snapshot(state string) record.Record {
	rec.mutex.Lock()
	defer rec.mutex.Unlock()
	cop := rec.record
	cop.State = state
	cop.Texts = slices.Sorted(maps.Keys(rec.texts))
	cop.Executions = maps.Clone(rec.record.Executions)
	cop.Digests = maps.Clone(rec.record.Digests)
	cop.RequestIDs = maps.Clone(rec.record.RequestIDs)
	return cop
}
