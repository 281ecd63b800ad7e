// Package configurationnode keeps one node's configuration, its fence and its lifecycle in step with its leader.
//
// It runs on the control thread. The runtime sends the heartbeats to the leader of the data centre, which may be in the
// same process, and passes the replies to the Node.
package configurationnode
