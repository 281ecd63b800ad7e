// Package followers chooses the nodes of each data centre that follow the platform's store for all of its nodes, and those
// that stand in when these have lost it.
package followers
