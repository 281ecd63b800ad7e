// Package controlusage describes the resources that a node's control thread and control messages have used.
package controlusage
