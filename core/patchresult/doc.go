// Package patchresult describes the result of a submitted patch that its operator gets.
package patchresult
