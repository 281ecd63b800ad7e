// Package operator serves the API of a node for operators, which the operators' commands call.
package operator
