// Package localserver tracks the state of a node's own backend server from its announcements.
package localserver
