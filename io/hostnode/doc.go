// Package hostnode implements the node for hosts whose platform stores the configuration and the members' rows.
//
// It is composed of the same packages of core as io/node. There is no leader: the operators write the configuration
// into the platform's store themselves, and rates are divided evenly among hosts, which lend each other tokens.
package hostnode
