// Package nodereport describes a node's report about itself to another node that an operator has asked.
package nodereport
