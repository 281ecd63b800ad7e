// Package announcement describes the message by which a backend server reports itself to its node.
package announcement
