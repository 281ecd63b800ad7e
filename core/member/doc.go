// Package member describes a node and its backend server as other nodes see them.
package member
