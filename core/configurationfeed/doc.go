// Package configurationfeed follows the configuration that the operators write into the platform's store.
//
// Versions come from the store or from another node; only a version newer than the one in force is accepted. While the
// store is unreachable, the version in force stays in force and the node only misses new versions from the store.
package configurationfeed
