// Package hostnode implements the node for hosts whose platform stores the configuration and the members' rows.
//
// It is composed of the same packages of core as io/node. There is no leader: the operators write the configuration
// into the platform's store themselves, and rates are divided evenly among hosts, which lend each other tokens.
//
// A deeper call is a call that a backend server makes through its node for a request that it runs. On this platform, no
// field of the call names that request. If client accounts are configured, the node treats calls without an API key as
// deeper calls.
package hostnode
