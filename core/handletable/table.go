package handletable

import (
	"crypto/rand"
	"sync"

	"flamingoreach/core/allowance"
	"flamingoreach/core/call"
	"flamingoreach/core/handle"
)

// Table holds one handle for each call that runs on the local backend server.
type Table struct {
	mut     sync.RWMutex
	handles map[string]*handle.Handle
}

// New returns an empty table.
func New() *Table { return &Table{handles: map[string]*handle.Handle{}} }

// Add registers a running call and returns the handle with its random name.
func (tab *Table) Add(cal call.Call) (string, *handle.Handle) {
	name := rand.Text()
	han := &handle.Handle{Call: cal, Allowance: allowance.New(cal.Allowance)}
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.handles[name] = han
	return name, han
}

// Find returns the handle of a call that still runs.
func (tab *Table) Find(name string) (*handle.Handle, bool) {
	tab.mut.RLock()
	defer tab.mut.RUnlock()
	han, found := tab.handles[name]
	return han, found
}

// Remove removes the handle of a call that has ended; deeper calls that name it later are refused.
func (tab *Table) Remove(name string) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	delete(tab.handles, name)
}
