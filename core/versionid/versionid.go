package versionid

import "fmt"

// digestLength is the number of the digest's hexadecimal digits that an object name contains.
const digestLength = 16

// VersionID names a version, the patch that makes it and the digest of its encoded body.
type VersionID struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	PatchID string `json:"patchId,omitempty" cbor:"2,keyasint,omitempty"`
	// Digest is the SHA-256 of the encoded body in hexadecimal digits.
	Digest string `json:"digest,omitempty" cbor:"3,keyasint,omitempty"`
	// Order is the revision of the table's prepared row and orders prepared patches; 0 for accepted versions.
	Order uint64 `json:"order,omitempty" cbor:"4,keyasint,omitempty"`
}

// Known reports whether the ID names any version.
func (vid VersionID) Known() bool { return vid.Version > 0 }

// Same reports whether both name the same patch with the same body; it ignores Order.
func (vid VersionID) Same(other VersionID) bool {
	return vid.Version == other.Version && vid.PatchID == other.PatchID && vid.Digest == other.Digest
}

// ObjectName returns the name under which the object store holds the encoded body; different bodies have different
// names.
func (vid VersionID) ObjectName() string {
	return fmt.Sprintf("configuration/%d-%s-%.*s", vid.Version, vid.PatchID, digestLength, vid.Digest)
}
