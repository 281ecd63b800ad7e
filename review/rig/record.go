package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file to which a case writes what was sent, answered and run; it is safe for concurrent use.
type record struct {
	mut   sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// since returns the time since the start of the record, at which its lines are counted.
func (rec *record) since() time.Duration { return time.Since(rec.began) }

// write adds a line with the time since the start.
func (rec *record) write(format string, values ...any) {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	_, _ = fmt.Fprintf(rec.lines, "%8.3f s  %s\n", rec.since().Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (rec *record) say(format string, values ...any) {
	rec.write(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (rec *record) close() error {
	rec.mut.Lock()
	defer rec.mut.Unlock()
	if err := rec.lines.Flush(); err != nil {
		return err
	}
	return rec.file.Close()
}
