// Package grantledger describes what the leader of a data centre hands over to the next leader.
package grantledger
