// Package quarantine keeps the list of call contents to refuse because calls with them were running at two crashes of
// a backend server's process.
//
// The list is not safe for concurrent use; the gate calls it under its mutex.
package quarantine
