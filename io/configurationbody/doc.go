// Package configurationbody compresses the body of a configuration version for the nodes that fetch it, and caches the
// result. The body is the configuration without its version number and patch ID, encoded as TOML.
package configurationbody
