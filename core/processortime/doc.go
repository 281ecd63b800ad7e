// Package processortime reads how much processor time a process or thread has used.
package processortime
