// Package process runs a program as a child process for tests, writes its output to files and sends it signals.
package process
