package tracefile

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/rotisserie/eris"

	"flamingoreach/core/traceline"
)

const maxLineBytes = 1 << 20

// File is a trace that is being written.
type File struct {
	mut    sync.Mutex
	file   *os.File
	buffer *bufio.Writer
}

// Create creates a file, or truncates an existing one, and writes a comment into its first line. It fails if the file
// cannot be created.
func Create(name, comment string) (*File, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, eris.Wrapf(err, "create trace %s", name)
	}
	fil := &File{file: file, buffer: bufio.NewWriter(file)}
	text, err := json.Marshal(comment)
	if err != nil {
		return nil, eris.Wrap(err, "encode comment")
	}
	fil.Write(traceline.Line{Kind: traceline.Comment, Data: text})
	return fil, nil
}

// Write adds a line; Close returns the first error of writing to the file.
func (fil *File) Write(lin traceline.Line) {
	fil.mut.Lock()
	defer fil.mut.Unlock()
	_ = json.NewEncoder(fil.buffer).Encode(lin)
}

// Close writes the buffered lines and fails if any line could not be written.
func (fil *File) Close() error {
	fil.mut.Lock()
	defer fil.mut.Unlock()
	if err := fil.buffer.Flush(); err != nil {
		return eris.Wrap(err, "write trace")
	}
	return eris.Wrap(fil.file.Close(), "close trace")
}

// Read returns all lines; it fails at the first line that is not a valid trace line or is longer than 1 MiB.
func Read(rea io.Reader) ([]traceline.Line, error) {
	scanner := bufio.NewScanner(rea)
	scanner.Buffer(nil, maxLineBytes)
	var lines []traceline.Line
	for scanner.Scan() {
		var lin traceline.Line
		if err := json.Unmarshal(scanner.Bytes(), &lin); err != nil {
			return nil, eris.Wrapf(err, "trace line %d", len(lines)+1)
		}
		lines = append(lines, lin)
	}
	return lines, eris.Wrap(scanner.Err(), "read trace")
}
