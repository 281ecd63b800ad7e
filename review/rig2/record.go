package rig2

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one JSON line each.
type Record struct {
	mut   sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(name string) (*Record, error) {
	file, err := os.Create(name)
	return &Record{file: file, began: time.Now()}, err
}

// Write appends a line with the seconds since the start, the event and its fields, which are names and values by turns.
func (rec *Record) Write(event string, fields ...any) {
	line := map[string]any{"at": time.Since(rec.began).Round(time.Millisecond).Seconds(), "event": event}
	for index := 0; index+1 < len(fields); index += 2 {
		value := fields[index+1]
		switch typed := value.(type) {
		case error:
			value = typed.Error()
		case fmt.Stringer:
			value = typed.String()
		}
		line[fmt.Sprint(fields[index])] = value
	}
	text, err := json.Marshal(line)
	if err != nil {
		text = fmt.Appendf(nil, "%v", line)
	}
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_, _ = rec.file.Write(append(text, '\n'))
}

// Close closes the file.
func (rec *Record) Close() error { return rec.file.Close() }
