// Package record holds what a stand-in for a backend server has received and executed.
package record
