// Package backendserver sends calls to the local backend server over HTTP and receives its announcements.
//
// Each call is sent with the name of its handle, by which the node recognises the deeper calls that the backend server
// makes for it.
package backendserver
