package standinplatform

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// tokenLifetime is the time during which a transaction with the same client token is not applied again, the same as
	// in DynamoDB.
	tokenLifetime = 10 * time.Minute
	// pageSize is small, so that tests with few rows read several pages.
	pageSize = 50
	// The limits of DynamoDB: bytes of an item, actions of a transaction.
	itemSizeLimit = 400 << 10
	actionsLimit  = 100
)

// table holds the rows of all tables by key, regardless of the table's name; the mutex of Platform guards it.
type table struct {
	items  map[rowKey]item
	tokens map[string]usedToken
}

type rowKey struct{ collection, name string }

type item struct {
	revision uint64
	value    []byte
}

type usedToken struct {
	request []byte
	expires time.Time
}

// action is one part of a transaction.
type action struct {
	key rowKey
	// condition reports whether the current item allows the transaction; nil means no condition.
	condition func(present item, exists bool) bool
	update    bool
	remove    bool
	increment uint64
	value     []byte
}

func newTable() *table { return &table{items: map[rowKey]item{}, tokens: map[string]usedToken{}} }

func (key rowKey) compare(other rowKey) int {
	return cmp.Or(cmp.Compare(key.collection, other.collection), cmp.Compare(key.name, other.name))
}

func (tab *table) sortedKeys() []rowKey {
	return slices.SortedFunc(maps.Keys(tab.items), rowKey.compare)
}

// page returns up to pageSize keys of a collection that sort after a name, and whether more follow.
func (tab *table) page(collection, after string) (keys []rowKey, more bool) {
	for _, key := range tab.sortedKeys() {
		if key.collection != collection || key.name <= after {
			continue
		}
		if len(keys) == pageSize {
			return keys, true
		}
		keys = append(keys, key)
	}
	return keys, false
}

// tokenUsed reports whether a client token was already used for the same request, or for another one.
func (tab *table) tokenUsed(token string, request []byte) (same, other bool) {
	now := time.Now()
	maps.DeleteFunc(tab.tokens, func(_ string, use usedToken) bool { return use.expires.Before(now) })
	use, known := tab.tokens[token]
	if !known {
		return false, false
	}
	same = bytes.Equal(use.request, request)
	return same, !same
}

// apply executes all actions if every condition holds, otherwise none; failed tells for each whether its condition failed.
func (tab *table) apply(token string, request []byte, actions []action) (failed []bool, applied bool) {
	failed = make([]bool, len(actions))
	applied = true
	for i, act := range actions {
		present, exists := tab.items[act.key]
		if act.condition != nil && !act.condition(present, exists) {
			failed[i] = true
			applied = false
		}
	}
	if !applied {
		return failed, false
	}
	for _, act := range actions {
		switch {
		case act.remove:
			delete(tab.items, act.key)
		case act.update:
			tab.items[act.key] = item{revision: tab.items[act.key].revision + act.increment, value: act.value}
		}
	}
	if token != "" {
		tab.tokens[token] = usedToken{request: request, expires: time.Now().Add(tokenLifetime)}
	}
	return failed, true
}
