// Package grant is the control-state module by which the leader of a data centre grants tokens to nodes.
package grant
