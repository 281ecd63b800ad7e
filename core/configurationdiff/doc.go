// Package configurationdiff lists the differences between two configurations for operators, without key hashes.
package configurationdiff
