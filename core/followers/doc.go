// Package followers chooses the nodes of each data centre that follow the platform's store for all of its nodes.
package followers
