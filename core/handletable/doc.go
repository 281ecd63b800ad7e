// Package handletable keeps the handles of running calls under opaque random names, which a backend server sends
// along with its deeper calls.
package handletable
