package configurationfile

import (
	"fmt"
	"math"
	"slices"
	"time"

	"flamingoreach/core/configurationfault"
)

// reader decodes one file and collects its faults.
type reader struct {
	positions positions
	faults    []configurationfault.Fault
}

func (rea *reader) fault(field, format string, args ...any) {
	rea.faults = append(rea.faults, configurationfault.Fault{
		Line: rea.positions.line(field), Field: field, Problem: fmt.Sprintf(format, args...),
	})
}

// table reads the fields of one TOML table and records which fields were read, so that it can report the unknown ones.
type table struct {
	reader *reader
	path   string
	values map[string]any
	read   []string
}

func (tab *table) fieldPath(key string) string { return join(tab.path, key) }

// lookup returns the value of a field, and reports a fault if the field is required and absent.
func (tab *table) lookup(key string, required bool) (any, bool) {
	tab.read = append(tab.read, key)
	value, present := tab.values[key]
	if !present && required {
		tab.reader.fault(tab.fieldPath(key), "is missing")
	}
	return value, present
}

// reportUnknown reports a fault for each field of the table that was not read.
func (tab *table) reportUnknown() {
	for key := range tab.values {
		if !slices.Contains(tab.read, key) {
			tab.reader.fault(tab.fieldPath(key), "is unknown; known are %v", tab.read)
		}
	}
}

// read returns the value of a field of type T, or the fallback if the field is absent or of another type.
func read[T any](tab *table, key string, required bool, fallback T, want string) T {
	value, present := tab.lookup(key, required)
	if !present {
		return fallback
	}
	typed, ok := value.(T)
	if !ok {
		tab.reader.fault(tab.fieldPath(key), "want %s, have %s", want, kind(value))
		return fallback
	}
	return typed
}

func (tab *table) text(key string, required bool) string {
	return read(tab, key, required, "", "a text")
}

func (tab *table) flag(key string) bool { return read(tab, key, false, false, "true or false") }

func (tab *table) integer(key string, required bool, fallback int) int {
	value := read(tab, key, required, int64(fallback), "a whole number")
	return int(value)
}

func (tab *table) unsigned(key string) uint64 {
	value := read(tab, key, false, int64(0), "a whole number")
	if value < 0 {
		tab.reader.fault(tab.fieldPath(key), "want 0 or more")
		return 0
	}
	return uint64(value)
}

// number reads a float or an integer.
func (tab *table) number(key string, required bool, fallback float64) float64 {
	value, present := tab.lookup(key, required)
	if !present {
		return fallback
	}
	switch typed := value.(type) {
	case int64:
		return float64(typed)
	case float64:
		if !math.IsNaN(typed) {
			return typed
		}
	}
	tab.reader.fault(tab.fieldPath(key), "want a number, have %s", kind(value))
	return fallback
}

// duration reads a string such as "250ms". If zeroText is not empty, that string is accepted too and stands for 0.
func (tab *table) duration(key string, required bool, fallback time.Duration, zeroText string) time.Duration {
	text := read(tab, key, required, fallback.String(), "a duration as text")
	if zeroText != "" && text == zeroText {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		tab.reader.fault(tab.fieldPath(key), "want a duration such as \"250ms\", have %q", text)
		return fallback
	}
	return value
}

// texts reads an array of strings.
func (tab *table) texts(key string) []string {
	var list []string
	for index, value := range read(tab, key, false, []any(nil), "an array of texts") {
		text, ok := value.(string)
		if !ok {
			tab.reader.fault(fmt.Sprintf("%s[%d]", tab.fieldPath(key), index), "want a text, have %s", kind(value))
		}
		list = append(list, text)
	}
	return list
}

// tables reads an array of tables.
func (tab *table) tables(key string) []*table {
	var list []*table
	for index, value := range read(tab, key, false, []any(nil), "an array of tables") {
		path := fmt.Sprintf("%s[%d]", tab.fieldPath(key), index)
		values, ok := value.(map[string]any)
		if !ok {
			tab.reader.fault(path, "want a table, have %s", kind(value))
			continue
		}
		list = append(list, &table{reader: tab.reader, path: path, values: values})
	}
	return list
}

func (tab *table) table(key string) *table {
	values := read(tab, key, false, map[string]any(nil), "a table")
	return &table{reader: tab.reader, path: tab.fieldPath(key), values: values}
}

// kind returns the name of a value's TOML type. Faults show it in place of the value, which may be a secret key in the wrong field.
func kind(value any) string {
	switch value.(type) {
	case string:
		return "a text"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case bool:
		return "a truth value"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
