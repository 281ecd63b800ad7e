// Package machine runs state charts, whose guards and actions the code supplies by name.
package machine
