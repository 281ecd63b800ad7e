// Package site describes one backend server with its node in a local fleet.
package site
