package configurationfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the path of each field to the line of its key, counted from 1.
type positions map[string]int

// newPositions returns the lines of all keys in a text, which must be valid TOML.
func newPositions(text []byte) positions {
	pos := positions{}
	arrayLengths := map[string]int{}
	par := &unstable.Parser{}
	par.Reset(text)
	lin := newLineIndex(text)
	table := ""
	for par.NextExpression() {
		exp := par.Expression()
		switch exp.Kind {
		case unstable.Table, unstable.ArrayTable:
			path, line := keyPath(lin, exp, "", arrayLengths)
			if exp.Kind == unstable.ArrayTable {
				arrayLengths[path]++
				pos.add(path, line)
				path = fmt.Sprintf("%s[%d]", path, arrayLengths[path]-1)
			}
			pos.add(path, line)
			table = path
		case unstable.KeyValue:
			pos.addKeyValue(lin, exp, table, arrayLengths)
		}
	}
	return pos
}

// add records the line of a path, unless an earlier line is known.
func (pos positions) add(path string, line int) {
	if _, known := pos[path]; !known {
		pos[path] = line
	}
}

func (pos positions) addKeyValue(lin lineIndex, exp *unstable.Node, table string, arrayLengths map[string]int) {
	path, line := keyPath(lin, exp, table, arrayLengths)
	pos.add(path, line)
	pos.addValue(lin, exp.Value(), path, line, arrayLengths)
}

func (pos positions) addValue(lin lineIndex, val *unstable.Node, path string, line int, arrayLengths map[string]int) {
	children := val.Children()
	switch val.Kind {
	case unstable.InlineTable:
		for children.Next() {
			pos.addKeyValue(lin, children.Node(), path, arrayLengths)
		}
	case unstable.Array:
		for index := 0; children.Next(); index++ {
			element := children.Node()
			if element.Kind == unstable.Comment {
				index--
				continue
			}
			elementPath := fmt.Sprintf("%s[%d]", path, index)
			if element.Raw.Length > 0 {
				line = lin.lineOf(element.Raw)
			}
			pos.add(elementPath, line)
			pos.addValue(lin, element, elementPath, line, arrayLengths)
		}
	}
}

// keyPath returns the path and the line of a dotted key in a table. As in TOML, the name of an array of tables inside
// the key refers to the last element defined so far.
func keyPath(lin lineIndex, exp *unstable.Node, table string, arrayLengths map[string]int) (string, int) {
	line := 0
	path := table
	keys := exp.Key()
	for keys.Next() {
		key := keys.Node()
		if line == 0 {
			line = lin.lineOf(key.Raw)
		}
		path = join(path, string(key.Data))
		if count := arrayLengths[path]; count > 0 && !keys.IsLast() {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path, line
}

// line returns the line of a field, else of the innermost table that contains it, else 1.
func (pos positions) line(path string) int {
	for path != "" {
		if line, known := pos[path]; known {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
