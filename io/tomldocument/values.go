package tomldocument

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// Text returns a string.
// It returns the fallback if the key is absent, or if the value is invalid, in which case it also adds a problem.
func (doc *Document) Text(key, fallback string) string {
	val := doc.value(key)
	if val == nil {
		return fallback
	}
	text, isText := val.(string)
	if !isText {
		doc.AddProblem(key, "want a text in quotes")
		return fallback
	}
	return text
}

// RequiredText returns a string and adds a problem if the key is absent or the string is empty.
func (doc *Document) RequiredText(key string) string {
	if doc.value(key) == nil {
		doc.AddProblem(key, "is missing")
		return ""
	}
	if doc.Is(key, "") {
		doc.AddProblem(key, "is empty")
	}
	return doc.Text(key, "")
}

// Texts returns a list of strings, or nil where the key is absent.
func (doc *Document) Texts(key string) []string {
	val := doc.value(key)
	if val == nil {
		return nil
	}
	list, isList := val.([]any)
	if !isList {
		doc.AddProblem(key, "want a list of texts")
		return nil
	}
	texts := make([]string, 0, len(list))
	for idx, item := range list {
		text, isText := item.(string)
		if !isText {
			doc.AddProblem(key, "entry %d: want a text in quotes", idx+1)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

// TextMap returns a table whose values are all strings; it is empty where the key is absent.
func (doc *Document) TextMap(key string) map[string]string {
	names := map[string]string{}
	val := doc.value(key)
	table, isTable := val.(map[string]any)
	if val != nil && !isTable {
		doc.AddProblem(key, "want a table")
	}
	for name, item := range table {
		path := joinPath(key, name)
		doc.known[path] = true
		text, isText := item.(string)
		if !isText || text == "" {
			doc.AddProblem(path, "want a text in quotes that is not empty")
			continue
		}
		names[name] = text
	}
	return names
}

// TableKeys returns the path of each table in a list, such as "accounts[0]". The caller prefixes it to the keys of that table.
func (doc *Document) TableKeys(key string) []string {
	val := doc.value(key)
	list, isList := val.([]any)
	if val != nil && !isList {
		doc.AddProblem(key, "want a list of tables")
	}
	keys := make([]string, 0, len(list))
	for index, val := range list {
		if _, isTable := val.(map[string]any); !isTable {
			doc.AddProblem(key, "entry %d: want a table", index+1)
			continue
		}
		doc.known[itemPath(key, index)] = true
		keys = append(keys, itemPath(key, index))
	}
	return keys
}

// Flag returns a boolean, or the fallback where the key is absent. If the value is invalid, it returns false and adds a
// problem.
func (doc *Document) Flag(key string, fallback bool) bool {
	val := doc.value(key)
	if val == nil {
		return fallback
	}
	flag, isFlag := val.(bool)
	if !isFlag {
		doc.AddProblem(key, "want true or false")
	}
	return flag
}

// Number returns a finite number of at least 0.
// It returns the fallback if the key is absent, or if the value is invalid, in which case it also adds a problem.
func (doc *Document) Number(key string, fallback float64) float64 {
	val := doc.value(key)
	var number float64
	switch typed := val.(type) {
	case nil:
		return fallback
	case int64:
		number = float64(typed)
	case float64:
		number = typed
	default:
		number = -1
	}
	if !(number >= 0) || math.IsInf(number, 0) {
		doc.AddProblem(key, "want a number of at least 0")
		return fallback
	}
	return number
}

// Count returns a whole number from 1 to math.MaxInt32.
// It returns the fallback if the key is absent, or if the value is invalid, in which case it also adds a problem.
func (doc *Document) Count(key string, fallback int) int {
	val := doc.value(key)
	if val == nil {
		return fallback
	}
	count, isCount := val.(int64)
	if !isCount || count < 1 || count > math.MaxInt32 {
		doc.AddProblem(key, "want a whole number from 1 to %d", math.MaxInt32)
		return fallback
	}
	return int(count)
}

// Duration returns a positive duration.
// It returns the fallback if the key is absent, or if the value is invalid, in which case it also adds a problem.
func (doc *Document) Duration(key string, fallback time.Duration) time.Duration {
	val := doc.value(key)
	if val == nil {
		return fallback
	}
	text, isText := val.(string)
	if !isText {
		doc.AddProblem(key, `want a duration in quotes with its unit, such as "500ms"`)
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 {
		doc.AddProblem(key, `%q is no duration above zero with its unit, such as "500ms"`, text)
		return fallback
	}
	return duration
}

// IP returns an IP address and adds a problem if the key is absent.
func (doc *Document) IP(key string) netip.Addr {
	text := doc.RequiredText(key)
	if text == "" {
		return netip.Addr{}
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		doc.AddProblem(key, "%q is no IP address", text)
	}
	return addr
}

// Address returns an IP address with its port.
// It returns the fallback if the key is absent, or if the value is invalid, in which case it also adds a problem.
func (doc *Document) Address(key string, fallback netip.AddrPort) netip.AddrPort {
	if doc.value(key) == nil {
		return fallback
	}
	addr, err := parseAddress(doc.Text(key, ""))
	if err != nil {
		doc.AddProblem(key, "%v", err)
		return fallback
	}
	return addr
}

// RequiredAddress returns an IP address with its port, and adds a problem if the key is absent or the port is zero.
func (doc *Document) RequiredAddress(key string) netip.AddrPort {
	if doc.value(key) == nil {
		doc.AddProblem(key, "is missing")
		return netip.AddrPort{}
	}
	addr := doc.Address(key, netip.AddrPort{})
	if addr.IsValid() && addr.Port() == 0 {
		doc.AddProblem(key, "port 0 cannot be called")
	}
	return addr
}

// Addresses returns a list of IP addresses with their ports, which must not be zero.
func (doc *Document) Addresses(key string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for idx, text := range doc.Texts(key) {
		addr, err := parseAddress(text)
		if err == nil && addr.Port() == 0 {
			err = fmt.Errorf("port 0 cannot be called")
		}
		if err != nil {
			doc.AddProblem(key, "entry %d: %v", idx+1, err)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

func parseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf(`%q is no IP address with a port, such as "127.0.0.1:8080"`, text)
	}
	return addr, nil
}

// Is reports whether the value of a key is exactly this string.
func (doc *Document) Is(key, text string) bool { return doc.value(key) == text }

// Has reports whether the text contains a key or table.
func (doc *Document) Has(key string) bool { return doc.value(key) != nil }
