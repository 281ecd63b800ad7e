package tomldocument

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// position is the line where a key or table first occurs, and the path of the table or list that contains it.
type position struct {
	line   int
	parent string
}

// keyPositions returns the position of each key and table in a text, which must be valid TOML.
func keyPositions(text []byte) map[string]position {
	positions := map[string]position{}
	var par unstable.Parser
	par.Reset(text)
	table := ""
	for par.NextExpression() {
		nod := par.Expression()
		switch nod.Kind {
		case unstable.Table:
			table = recordKey(&par, positions, "", nod)
		case unstable.ArrayTable:
			table = recordItem(&par, positions, nod)
		case unstable.KeyValue:
			recordValue(&par, positions, table, nod)
		}
	}
	return positions
}

func recordValue(par *unstable.Parser, positions map[string]position, prefix string, nod *unstable.Node) {
	path := recordKey(par, positions, prefix, nod)
	switch nod.Value().Kind {
	case unstable.InlineTable:
		recordInline(par, positions, path, nod.Value())
	case unstable.Array:
		index := 0
		for it := nod.Value().Children(); it.Next(); index++ {
			if it.Node().Kind != unstable.InlineTable {
				continue
			}
			entry := itemPath(path, index)
			positions[entry] = position{line: positions[path].line, parent: path}
			recordInline(par, positions, entry, it.Node())
		}
	}
}

func recordInline(par *unstable.Parser, positions map[string]position, path string, table *unstable.Node) {
	for it := table.Children(); it.Next(); {
		recordValue(par, positions, path, it.Node())
	}
}

// recordItem records the position of the next table in a list of tables and returns its path.
func recordItem(par *unstable.Parser, positions map[string]position, nod *unstable.Node) string {
	path := recordKey(par, positions, "", nod)
	index := 0
	for ; positions[itemPath(path, index)].line != 0; index++ {
	}
	line := 0
	for it := nod.Key(); it.Next(); {
		line = par.Shape(it.Node().Raw).Start.Line
	}
	positions[itemPath(path, index)] = position{line: line, parent: path}
	return itemPath(path, index)
}

// recordKey records the position of every part of a dotted key and returns the path of the whole key.
func recordKey(par *unstable.Parser, positions map[string]position, prefix string, nod *unstable.Node) string {
	path := prefix
	for it := nod.Key(); it.Next(); {
		container := path
		path = joinPath(container, string(it.Node().Data))
		if _, seen := positions[path]; !seen {
			positions[path] = position{line: par.Shape(it.Node().Raw).Start.Line, parent: container}
		}
	}
	return path
}

// itemPath returns the path of one entry of a list; the index counts from 0.
func itemPath(path string, index int) string { return fmt.Sprintf("%s[%d]", path, index) }

func joinPath(prefix, name string) string {
	if !bareKey.MatchString(name) {
		name = strconv.Quote(name)
	}
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
