// Package hostnode is the node on hosts whose platform keeps the configuration and the members' rows.
//
// It is composed of the same cores as io/node. There is no leader: the operators write the configuration into the
// platform's store themselves, and rates are divided evenly among hosts that lend each other tokens.
package hostnode
