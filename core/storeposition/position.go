package storeposition

import "cmp"

// Position is a point in the history of the platform's store. A store that comes back from an older copy gives out
// revisions again, in a higher era.
type Position struct {
	// Era counts the times that the store came back from an older copy; it is 0 for a store that does not tell.
	Era uint64 `json:"era" cbor:"1,keyasint"`
	// Revision is the store's revision within the era.
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
}

// Compare returns a negative number if the position is before the other one, a positive one if it is after it, and 0 if
// they are the same.
func (pos Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(pos.Era, other.Era), cmp.Compare(pos.Revision, other.Revision))
}

// Before reports whether the position is before the other one.
func (pos Position) Before(other Position) bool { return pos.Compare(other) < 0 }
