// Package tomlduration decodes durations in the TOML files of the rigs.
package tomlduration
