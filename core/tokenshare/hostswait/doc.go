// Package hostswait lets calls wait, after the start of a process, until the hosts of the fleet are known.
package hostswait
