package tomldocument

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"flamingoreach/io/settingserror"
	"flamingoreach/io/settingsproblem"
)

// Document reads values from a TOML text and collects the problems of the text. It is not safe for concurrent use.
type Document struct {
	file      string
	root      map[string]any
	positions map[string]position
	known     map[string]bool
	problems  []settingsproblem.Problem
}

// Parse returns the document of a text; file is its name in problems. After a syntax error, Err reports that error only.
func Parse(file string, text []byte) *Document {
	doc := &Document{file: file, root: map[string]any{}, known: map[string]bool{}}
	if err := toml.Unmarshal(text, &doc.root); err != nil {
		pro := settingsproblem.Problem{Text: err.Error()}
		var dec *toml.DecodeError
		if errors.As(err, &dec) {
			pro.Line, _ = dec.Position()
		}
		doc.problems = []settingsproblem.Problem{pro}
		return doc
	}
	doc.positions = keyPositions(text)
	return doc
}

// Valid reports whether the text is valid TOML.
func (doc *Document) Valid() bool { return doc.positions != nil }

// AddProblem adds a problem of a key, at the line of the key or else of the innermost table that contains it. It does nothing if the text is
// not valid TOML.
func (doc *Document) AddProblem(key, format string, args ...any) {
	if !doc.Valid() {
		return
	}
	doc.problems = append(doc.problems, settingsproblem.Problem{
		Line: doc.line(key), Key: key, Text: fmt.Sprintf(format, args...),
	})
}

// Err returns a *settingserror.Error with all problems, unknown keys included, or nil.
func (doc *Document) Err() error {
	doc.reportUnknown()
	if len(doc.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(doc.problems, func(one, two settingsproblem.Problem) int {
		return cmp.Or(cmp.Compare(one.Line, two.Line), cmp.Compare(one.Key, two.Key))
	})
	return &settingserror.Error{File: doc.file, Problems: doc.problems}
}

// reportUnknown adds a problem for each key that was not read; of an unknown table it reports the table only.
func (doc *Document) reportUnknown() {
	for key, pos := range doc.positions {
		if !doc.known[key] && (pos.parent == "" || doc.known[pos.parent]) {
			doc.AddProblem(key, "unknown key")
		}
	}
}

func (doc *Document) line(key string) int {
	for ; key != ""; key = parent(key) {
		if pos, found := doc.positions[key]; found {
			return pos.line
		}
	}
	return 0
}

// value marks a key and the tables that contain it as known, and returns the key's value, or nil if it is absent.
func (doc *Document) value(key string) any {
	for part := key; part != ""; part = parent(part) {
		doc.known[part] = true
	}
	var val any = doc.root
	for name := range strings.SplitSeq(key, ".") {
		table, isTable := val.(map[string]any)
		if !isTable {
			return nil
		}
		val = lookup(table, name)
	}
	return val
}

// lookup returns the value of a name in a table; the form "name[index]" returns an entry of a list.
func lookup(table map[string]any, name string) any {
	name, index, indexed := strings.Cut(name, "[")
	if !indexed {
		return table[name]
	}
	list, _ := table[name].([]any)
	idx, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
	if err != nil || idx >= len(list) {
		return nil
	}
	return list[idx]
}

// parent returns the path of the table or list that contains a key. No part of the key may need quotes.
func parent(key string) string { return key[:max(0, strings.LastIndexAny(key, ".["))] }
