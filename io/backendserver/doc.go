// Package backendserver sends calls to the local backend server over HTTP and receives its announcements.
package backendserver
