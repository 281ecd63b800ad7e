// Package plan describes the load that the load generator sends; it comes from flags or a TOML file.
package plan
