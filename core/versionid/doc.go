// Package versionid identifies one version of the configuration without its body.
//
// The body is the configuration itself. In the object store and in messages between nodes it is text, the encoded body.
package versionid
