package configurationfile

import (
	"bytes"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex holds the offset of each newline in a text.
type lineIndex []int

func newLineIndex(text []byte) lineIndex {
	var lin lineIndex
	for offset := 0; ; {
		length := bytes.IndexByte(text[offset:], '\n')
		if length < 0 {
			return lin
		}
		offset += length + 1
		lin = append(lin, offset-1)
	}
}

// lineOf returns the line in which a range of the text starts, counted from 1.
func (lin lineIndex) lineOf(part unstable.Range) int {
	return 1 + sort.SearchInts(lin, int(part.Offset))
}
