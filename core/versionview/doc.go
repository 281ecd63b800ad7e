// Package versionview holds a node's view of the configuration: the accepted version and the prepared patch.
//
// A prepared patch may still be accepted or aborted. Until then the node enforces it together with the accepted
// version: the directory allows only what both allow. The body of a version is its configuration.
//
// It runs on the control thread. It learns version numbers from every heartbeat and every read of the table, in any
// order and any number of times, fetches the bodies that it lacks, and publishes the directory to the traffic threads.
// The accepted version never goes down.
package versionview
